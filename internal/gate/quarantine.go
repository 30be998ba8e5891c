package gate

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// crashesToConvict is the number of crashes after which a request is refused.
	crashesToConvict = 2
	// maxAbandoned bounds the remembered requests that may still run.
	maxAbandoned = 64
)

// suspect is a fingerprint that was on a server when it crashed.
type suspect struct {
	crashes int
	until   time.Time
}

// conviction is a fingerprint that is refused.
type conviction struct {
	until time.Time
	// own reports that this gate saw the crashes itself.
	own bool
}

// abandoned is a request that its caller gave up and that the server may still
// run.
type abandoned struct {
	fingerprint uint64
	until       time.Time
}

// quarantine remembers which requests were running when the server crashed.
// It is not safe for concurrent use.
type quarantine struct {
	cfg       Config
	suspects  *simplelru.LRU[uint64, *suspect]
	convicted *simplelru.LRU[uint64, conviction]
	// trusted holds fingerprints that ran well, each until a time. A request
	// that crashes each server that runs it never gets here; one that many
	// callers send is on the server at any crash, and here it has its excuse.
	trusted   *simplelru.LRU[uint64, time.Time]
	abandoned []abandoned
}

func newQuarantine(cfg Config) *quarantine {
	suspects, err := simplelru.NewLRU[uint64, *suspect](cfg.QuarantineSize, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	convicted, err := simplelru.NewLRU[uint64, conviction](cfg.QuarantineSize, nil)
	if err != nil {
		panic(err)
	}
	trusted, err := simplelru.NewLRU[uint64, time.Time](cfg.TrustSize, nil)
	if err != nil {
		panic(err)
	}
	return &quarantine{cfg: cfg, suspects: suspects, convicted: convicted, trusted: trusted}
}

// empty reports whether there is nothing to look up.
func (q *quarantine) empty() bool {
	return q.suspects.Len() == 0 && q.convicted.Len() == 0
}

// convictedFor returns how long a fingerprint is refused from now on; 0 if it
// is not. A conviction that ends leaves the fingerprint suspect, so that one
// more crash convicts it again.
func (q *quarantine) convictedFor(fp uint64, now time.Time) time.Duration {
	if fp == 0 {
		return 0
	}
	c, ok := q.convicted.Peek(fp)
	if !ok {
		return 0
	}
	if now.Before(c.until) {
		return c.until.Sub(now)
	}
	q.convicted.Remove(fp)
	q.suspects.Add(fp, &suspect{crashes: crashesToConvict - 1, until: now.Add(q.cfg.QuarantineFor)})
	return 0
}

// suspected reports whether a fingerprint has to run under isolation.
func (q *quarantine) suspected(fp uint64, now time.Time) bool {
	return q.crashesOf(fp, now) > 0
}

func (q *quarantine) crashesOf(fp uint64, now time.Time) int {
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

// atLeast notes crashes that a request says it met and reports whether the
// fingerprint is convicted by them, which holds for a short time only: the
// servers may have crashed for a reason of their own, such as a cold start that
// hit them all.
func (q *quarantine) atLeast(fp uint64, crashes int, now time.Time) bool {
	if fp == 0 || crashes <= q.crashesOf(fp, now) || q.trusts(fp, now) {
		return false
	}
	if crashes < crashesToConvict {
		return q.set(fp, crashes, now, false)
	}
	q.suspects.Remove(fp)
	q.convicted.Add(fp, conviction{until: now.Add(q.cfg.HearsayFor)})
	return true
}

// crashed notes that a fingerprint was on the server when it crashed and
// reports whether that convicts it.
func (q *quarantine) crashed(fp uint64, now time.Time) bool {
	if fp == 0 || q.convictedFor(fp, now) > 0 || q.spendTrust(fp, now) {
		return false
	}
	return q.set(fp, q.crashesOf(fp, now)+1, now, true)
}

func (q *quarantine) trusts(fp uint64, now time.Time) bool {
	until, ok := q.trusted.Peek(fp)
	return ok && now.Before(until)
}

// spendTrust excuses a fingerprint for one crash if it ran well before. It has
// to run well again for the next one, so a request that turned bad is found.
func (q *quarantine) spendTrust(fp uint64, now time.Time) bool {
	trusted := q.trusts(fp, now)
	q.trusted.Remove(fp)
	return trusted
}

func (q *quarantine) set(fp uint64, crashes int, now time.Time, own bool) bool {
	until := now.Add(q.cfg.QuarantineFor)
	if crashes < crashesToConvict {
		q.suspects.Add(fp, &suspect{crashes: crashes, until: until})
		return false
	}
	q.suspects.Remove(fp)
	q.convicted.Add(fp, conviction{until: until, own: own})
	return true
}

// ranWell clears a suspect and trusts it for a while.
func (q *quarantine) ranWell(fp uint64, now time.Time) {
	if fp == 0 {
		return
	}
	q.suspects.Remove(fp)
	q.trusted.Add(fp, now.Add(q.cfg.QuarantineFor))
}

// heard notes a conviction by another gate. Hearing it again does not prolong
// it, so that gates can't keep it alive between them.
func (q *quarantine) heard(fp uint64, now time.Time) {
	if fp == 0 || q.convictedFor(fp, now) > 0 {
		return
	}
	if q.spendTrust(fp, now) {
		q.set(fp, crashesToConvict-1, now, false)
		return
	}
	q.set(fp, crashesToConvict, now, false)
}

// abandon notes a request that the server may still run.
func (q *quarantine) abandon(fp uint64, now time.Time) {
	if fp == 0 {
		return
	}
	if len(q.abandoned) == maxAbandoned {
		q.abandoned = append(q.abandoned[:0], q.abandoned[1:]...)
	}
	q.abandoned = append(q.abandoned, abandoned{fingerprint: fp, until: now.Add(q.cfg.AbandonedFor)})
}

// takeAbandoned returns the fingerprints that may still run, and forgets them.
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

// own returns the fingerprints that this gate convicted.
func (q *quarantine) own(now time.Time) []uint64 {
	var out []uint64
	for _, fp := range q.convicted.Keys() {
		if c, ok := q.convicted.Peek(fp); ok && c.own && now.Before(c.until) {
			out = append(out, fp)
		}
	}
	return out
}

// suspectList returns the fingerprints under suspicion.
func (q *quarantine) suspectList(now time.Time) []uint64 {
	var out []uint64
	for _, fp := range q.suspects.Keys() {
		if q.suspected(fp, now) {
			out = append(out, fp)
		}
	}
	return out
}
