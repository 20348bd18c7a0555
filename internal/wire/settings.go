package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"tinbeam"
)

// maxItems bounds the length of a list that a settings text claims.
const maxItems = 4096

// ParseSettings reads the path=value lines of a hello. Unknown keys are disregarded and absent ones left
// zero; a value that is no number is treated as absent. Only the own number, and in a network the number
// of the own exchange, have no safe meaning when absent and are refused by name.
func ParseSettings(info string) (tinbeam.Settings, error) {
	kv := values{}
	for _, line := range strings.Split(info, "\n") {
		if k, v, ok := strings.Cut(strings.TrimRight(line, "\r"), "="); ok {
			kv[k] = v
		}
	}
	var s tinbeam.Settings
	var err error
	if s.Index, err = kv.must("index"); err != nil {
		return s, err
	}
	s.Pools = kv["familyInfo.shape"] == "skills"
	s.Home = -1
	if !s.Pools {
		if s.Home, err = kv.must("familyInfo.homeNo"); err != nil {
			return s, err
		}
	}
	s.Replicas = kv.int("replicasOfMe")
	s.Zone = kv.int("zone")
	s.ReportFields = kv.list("report.fields")
	s.ReportHow = kv["report.how"]
	if far := kv["familyInfo.peerLoad"]; far != "" {
		s.ReportHow = far
	}
	s.Discovery = kv["discovery"]
	s.Advice = kv["familyInfo.advice"] == "true"
	s.ReleaseWait = kv.seconds("familyInfo.clearWait")
	s.Resend = kv.seconds("familyInfo.resend")
	s.Probes = kv["permissions.probes"] == "true"
	s.PeerMessages = kv["permissions.peerMessages"] == "true"
	s.ParallelTries = kv["permissions.parallelTries"] == "true"
	s.MarksRedial = kv["clients.marksRetry"] == "true"
	s.MostTries = kv.int("permissions.mostTries")
	if kv["permissions.retryAfter"] == "true" {
		s.MaxPause = kv.seconds("permissions.maxRetryAfter")
	}
	s.Rules = tinbeam.Rules{
		AnswerSlack: kv.seconds("rules.answerSlack"), DrainGrace: kv.seconds("rules.drainGrace"),
		Cold: kv.seconds("rules.cold"), Fall: kv.seconds("rules.fall"), AskWithin: kv.seconds("rules.askWithin"),
		ColdFrom: kv.float("rules.coldFrom"), FallMultiple: kv.float("rules.fallMultiple"),
	}
	s.Blend = tinbeam.Blend{Whole: kv.float("blend.whole"), WorstClass: kv.float("blend.worstClass"),
		WorstRealm: kv.float("blend.worstTenant"), WorstWindow: kv.float("blend.worstWindow")}
	s.Charges = tinbeam.Charges{Probe: kv.float("charges.probe"), LateFail: kv.float("charges.lateFail"),
		Waste: kv.float("charges.waste"), Tandem: kv.float("charges.tandem")}
	s.Classes = kv.classes()
	for i := range s.Classes {
		var pools []int
		key := fmt.Sprintf("familyInfo.allowedPools.%d", i)
		for _, f := range kv.list(key) {
			if n, err := strconv.Atoi(f); err == nil {
				pools = append(pools, n)
			}
		}
		s.AllowedPools = append(s.AllowedPools, pools)
	}
	return s, nil
}

type values map[string]string

func (kv values) must(key string) (int, error) {
	v, ok := kv[key]
	if !ok {
		return 0, fmt.Errorf("settings: %s is missing", key)
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fmt.Errorf("settings: %s is %q, not a whole number", key, v)
	}
	return n, nil
}

func (kv values) float(key string) float64 {
	f, err := strconv.ParseFloat(kv[key], 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

func (kv values) int(key string) int {
	f := kv.float(key)
	if math.Abs(f) > 1<<31 {
		return 0
	}
	return int(f)
}

func (kv values) seconds(key string) time.Duration {
	f := kv.float(key)
	if math.Abs(f) > maxClock {
		return 0
	}
	return Seconds(f)
}

func (kv values) list(key string) []string {
	if v := kv[key]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (kv values) classes() []tinbeam.Class {
	n := kv.int("classes.count")
	if n < 0 || n > maxItems {
		n = 0
	}
	widths, holds := kv.list("familyInfo.widths"), kv.list("familyInfo.meanHold")
	at := func(l []string, i int) float64 {
		if i >= len(l) {
			return 0
		}
		return values{"": l[i]}.float("")
	}
	out := make([]tinbeam.Class, n)
	for i := range out {
		p := fmt.Sprintf("classes.%d.", i)
		out[i] = tinbeam.Class{
			Name: kv[p+"name"], Aim: kv.seconds(p + "aim"), HardLimit: kv.seconds(p + "hardLimit"),
			Gain: kv.float(p + "gain"), LateValue: kv.float(p + "lateValue"),
			Width: at(widths, i), MeanHold: Seconds(at(holds, i)),
			Repeat: kv[p+"idempotency"], Group: kv[p+"group"], Window: kv.seconds(p + "window"),
		}
	}
	return out
}
