package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"tinbeam"
)

// maxClasses is the largest number of call classes that the settings may announce.
const maxClasses = 4096

// ParseSettings parses the path=value lines of a Hello. It ignores unknown keys, leaves absent ones zero and treats an invalid
// number as absent. Two settings have no safe default: the replica index and, in a network of exchanges, the number of the
// local exchange. If one of them is missing or invalid, the error names it.
func ParseSettings(text string) (tinbeam.Settings, error) {
	kv := values{}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(strings.TrimRight(line, "\r"), "="); ok {
			kv[k] = v
		}
	}
	var s tinbeam.Settings
	var err error
	if s.ReplicaIndex, err = kv.required("index"); err != nil {
		return s, err
	}
	s.SharedPools = kv["familyInfo.shape"] == "skills"
	s.LocalExchange = -1
	if !s.SharedPools {
		if s.LocalExchange, err = kv.required("familyInfo.homeNo"); err != nil {
			return s, err
		}
	}
	s.Replicas = kv.int("replicasOfMe")
	s.Zone = kv.int("zone")
	s.ReportFields = kv.list("report.fields")
	s.ReportHow = kv["report.how"]
	if peerLoad := kv["familyInfo.peerLoad"]; peerLoad != "" {
		s.ReportHow = peerLoad
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

// values maps the path of a setting to its text.
type values map[string]string

// required returns a whole number, or an error that names the key if it is missing or invalid.
func (kv values) required(key string) (int, error) {
	v, ok := kv[key]
	if !ok {
		return 0, fmt.Errorf("settings: %s is missing", key)
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fmt.Errorf("settings: %s is %q, want a whole number", key, v)
	}
	return n, nil
}

// float returns a number, or 0 if it is absent or not a finite number.
func (kv values) float(key string) float64 {
	f, err := strconv.ParseFloat(kv[key], 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

// int returns a number truncated to an integer, or 0 if it is absent or out of range.
func (kv values) int(key string) int {
	f := kv.float(key)
	if math.Abs(f) > 1<<31 {
		return 0
	}
	return int(f)
}

// seconds returns a time in seconds, or 0 if it is absent or out of range.
func (kv values) seconds(key string) time.Duration {
	f := kv.float(key)
	if math.Abs(f) > maxSeconds {
		return 0
	}
	return Seconds(f)
}

// list returns the items of a comma-separated list.
func (kv values) list(key string) []string {
	if v := kv[key]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// classes returns the call classes.
func (kv values) classes() []tinbeam.Class {
	n := kv.int("classes.count")
	if n < 0 || n > maxClasses {
		n = 0
	}
	widths, holds := kv.list("familyInfo.widths"), kv.list("familyInfo.meanHold")
	valueAt := func(l []string, i int) float64 {
		if i >= len(l) {
			return 0
		}
		return values{"": l[i]}.float("")
	}
	out := make([]tinbeam.Class, n)
	for i := range out {
		prefix := fmt.Sprintf("classes.%d.", i)
		out[i] = tinbeam.Class{
			Name: kv[prefix+"name"], AnswerTarget: kv.seconds(prefix + "aim"), HardLimit: kv.seconds(prefix + "hardLimit"),
			Value: kv.float(prefix + "gain"), LateValueShare: kv.float(prefix + "lateValue"),
			Width: valueAt(widths, i), MeanHold: Seconds(valueAt(holds, i)),
			RepeatPolicy: kv[prefix+"idempotency"], RepeatScope: kv[prefix+"group"], RepeatWindow: kv.seconds(prefix + "window"),
		}
	}
	return out
}
