package gate

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// quarantineThreshold is the number of crashes after which a request is refused.
	quarantineThreshold = 2
	// maxAbandoned bounds the remembered requests that may still be running.
	maxAbandoned = 64
)

// suspect is the record of a fingerprint that was on a server when it crashed.
type suspect struct {
	crashes int
	until   time.Time
}

// quarantineEntry is the record of a fingerprint that is refused.
type quarantineEntry struct {
	until time.Time
	// local reports that this gate itself observed the crashes.
	local bool
}

// abandoned is a request that its caller gave up but the server may still be running.
type abandoned struct {
	fingerprint uint64
	until       time.Time
}

// quarantine records which requests were running when the server crashed. It is not safe
// for concurrent use.
type quarantine struct {
	cfg         Config
	suspects    *simplelru.LRU[uint64, *suspect]
	quarantined *simplelru.LRU[uint64, quarantineEntry]
	// completed holds fingerprints of requests that completed, with the time until which
	// that counts. A request that crashes every server it runs on is never added. A
	// request that many callers send is likely to be on the server at any crash; its
	// entry here keeps that crash from counting.
	completed *simplelru.LRU[uint64, time.Time]
	abandoned []abandoned
}

func newQuarantine(cfg Config) *quarantine {
	suspects, err := simplelru.NewLRU[uint64, *suspect](cfg.QuarantineSize, nil)
	if err != nil {
		panic(err) // only if QuarantineSize is not positive
	}
	quarantined, err := simplelru.NewLRU[uint64, quarantineEntry](cfg.QuarantineSize, nil)
	if err != nil {
		panic(err)
	}
	completed, err := simplelru.NewLRU[uint64, time.Time](cfg.CompletedSize, nil)
	if err != nil {
		panic(err)
	}
	return &quarantine{cfg: cfg, suspects: suspects, quarantined: quarantined, completed: completed}
}

// empty reports whether no fingerprint is suspect or quarantined.
func (q *quarantine) empty() bool {
	return q.suspects.Len() == 0 && q.quarantined.Len() == 0
}

// quarantinedFor returns how long a fingerprint remains quarantined; 0 if it is not. When
// its quarantine ends, the fingerprint becomes suspect, so that one more crash
// quarantines it again.
func (q *quarantine) quarantinedFor(fp uint64, now time.Time) time.Duration {
	if fp == 0 {
		return 0
	}
	entry, ok := q.quarantined.Peek(fp)
	if !ok {
		return 0
	}
	if now.Before(entry.until) {
		return entry.until.Sub(now)
	}
	q.quarantined.Remove(fp)
	q.suspects.Add(fp, &suspect{crashes: quarantineThreshold - 1, until: now.Add(q.cfg.QuarantineFor)})
	return 0
}

// isSuspect reports whether a fingerprint has to run under isolation.
func (q *quarantine) isSuspect(fp uint64, now time.Time) bool {
	return q.crashCount(fp, now) > 0
}

func (q *quarantine) crashCount(fp uint64, now time.Time) int {
	s, ok := q.suspects.Peek(fp)
	if !ok {
		return 0
	}
	if !now.Before(s.until) {
		q.suspects.Remove(fp)
		return 0
	}
	return s.crashes
}

// recordReported records the crashes that a request reports and returns whether they
// quarantine the fingerprint. That quarantine is short, since the servers may have
// crashed for another reason, such as a cold start of all of them.
func (q *quarantine) recordReported(fp uint64, crashes int, now time.Time) bool {
	if fp == 0 || crashes <= q.crashCount(fp, now) || q.hasCompleted(fp, now) {
		return false
	}
	if crashes < quarantineThreshold {
		return q.setCrashes(fp, crashes, now, false)
	}
	q.suspects.Remove(fp)
	q.quarantined.Add(fp, quarantineEntry{until: now.Add(q.cfg.UnconfirmedQuarantineFor)})
	return true
}

// recordCrash records that a fingerprint was on the server when it crashed and reports
// whether that quarantines it.
func (q *quarantine) recordCrash(fp uint64, now time.Time) bool {
	if fp == 0 || q.quarantinedFor(fp, now) > 0 || q.consumeCompletion(fp, now) {
		return false
	}
	return q.setCrashes(fp, q.crashCount(fp, now)+1, now, true)
}

func (q *quarantine) hasCompleted(fp uint64, now time.Time) bool {
	until, ok := q.completed.Peek(fp)
	return ok && now.Before(until)
}

// consumeCompletion exempts a fingerprint from one crash if the request completed before.
// The request has to complete again to be exempt from the next crash, so one that starts
// to cause crashes is still found.
func (q *quarantine) consumeCompletion(fp uint64, now time.Time) bool {
	completed := q.hasCompleted(fp, now)
	q.completed.Remove(fp)
	return completed
}

func (q *quarantine) setCrashes(fp uint64, crashes int, now time.Time, local bool) bool {
	until := now.Add(q.cfg.QuarantineFor)
	if crashes < quarantineThreshold {
		q.suspects.Add(fp, &suspect{crashes: crashes, until: until})
		return false
	}
	q.suspects.Remove(fp)
	q.quarantined.Add(fp, quarantineEntry{until: until, local: local})
	return true
}

// recordCompletion clears a suspect and exempts it from one later crash for a while.
func (q *quarantine) recordCompletion(fp uint64, now time.Time) {
	if fp == 0 {
		return
	}
	q.suspects.Remove(fp)
	q.completed.Add(fp, now.Add(q.cfg.QuarantineFor))
}

// recordRemote records a quarantine by another gate. A repeated report does not extend
// it, or gates could extend it for each other without end.
func (q *quarantine) recordRemote(fp uint64, now time.Time) {
	if fp == 0 || q.quarantinedFor(fp, now) > 0 {
		return
	}
	if q.consumeCompletion(fp, now) {
		q.setCrashes(fp, quarantineThreshold-1, now, false)
		return
	}
	q.setCrashes(fp, quarantineThreshold, now, false)
}

// recordAbandoned records a request that the server may still be running.
func (q *quarantine) recordAbandoned(fp uint64, now time.Time) {
	if fp == 0 {
		return
	}
	if len(q.abandoned) == maxAbandoned {
		q.abandoned = append(q.abandoned[:0], q.abandoned[1:]...)
	}
	q.abandoned = append(q.abandoned, abandoned{fingerprint: fp, until: now.Add(q.cfg.AbandonedTTL)})
}

// takeAbandoned returns the fingerprints that may still be running, and clears the list.
func (q *quarantine) takeAbandoned(now time.Time) []uint64 {
	var out []uint64
	for _, a := range q.abandoned {
		if now.Before(a.until) {
			out = append(out, a.fingerprint)
		}
	}
	q.abandoned = q.abandoned[:0]
	return out
}

// localFingerprints returns the fingerprints that this gate itself quarantined.
func (q *quarantine) localFingerprints(now time.Time) []uint64 {
	var out []uint64
	for _, fp := range q.quarantined.Keys() {
		if entry, ok := q.quarantined.Peek(fp); ok && entry.local && now.Before(entry.until) {
			out = append(out, fp)
		}
	}
	return out
}

// suspectFingerprints returns the suspect fingerprints.
func (q *quarantine) suspectFingerprints(now time.Time) []uint64 {
	var out []uint64
	for _, fp := range q.suspects.Keys() {
		if q.isSuspect(fp, now) {
			out = append(out, fp)
		}
	}
	return out
}
