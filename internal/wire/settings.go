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
	if s.ReplicaIndex, err = kv.must("index"); err != nil {
		return s, err
	}
	s.SharedPools = kv["familyInfo.shape"] == "skills"
	s.LocalExchange = -1
	if !s.SharedPools {
		if s.LocalExchange, err = kv.must("familyInfo.homeNo"); err != nil {
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
	s.TandemAdvice = kv["familyInfo.advice"] == "true"
	s.ReleaseDelay = kv.seconds("familyInfo.clearWait")
	s.ResendInterval = kv.seconds("familyInfo.resend")
	s.Probes = kv["permissions.probes"] == "true"
	s.PeerMessages = kv["permissions.peerMessages"] == "true"
	s.ParallelAttempts = kv["permissions.parallelTries"] == "true"
	s.MarksRedial = kv["clients.marksRetry"] == "true"
	s.MaxAttempts = kv.int("permissions.mostTries")
	if kv["permissions.retryAfter"] == "true" {
		s.MaxRetryAfter = kv.seconds("permissions.maxRetryAfter")
	}
	s.Rules = tinbeam.Rules{
		AnswerSlack: kv.seconds("rules.answerSlack"), DrainGrace: kv.seconds("rules.drainGrace"),
		WarmUp: kv.seconds("rules.cold"), OverloadWindow: kv.seconds("rules.fall"), AskWithin: kv.seconds("rules.askWithin"),
		WarmUpStart: kv.float("rules.coldFrom"), OverloadMultiple: kv.float("rules.fallMultiple"),
	}
	s.ScoreWeights = tinbeam.ScoreWeights{Overall: kv.float("blend.whole"), WorstClass: kv.float("blend.worstClass"),
		WorstTenant: kv.float("blend.worstTenant"), WorstWindow: kv.float("blend.worstWindow")}
	s.Penalties = tinbeam.Penalties{Probe: kv.float("charges.probe"), LateFailure: kv.float("charges.lateFail"),
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
			Name: kv[p+"name"], AnswerTarget: kv.seconds(p + "aim"), HardLimit: kv.seconds(p + "hardLimit"),
			Value: kv.float(p + "gain"), LateValueShare: kv.float(p + "lateValue"),
			Width: at(widths, i), MeanHold: Seconds(at(holds, i)),
			RepeatPolicy: kv[p+"idempotency"], RepeatScope: kv[p+"group"], RepeatWindow: kv.seconds(p + "window"),
		}
	}
	return out
}
