package ledger

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/idempotency"
	"boragefall/internal/verdict"
)

const (
	// shardCount spreads the keys over as many locks.
	shardCount = 64
	// retryAfter is what a refused caller is told to wait.
	retryAfter = time.Second
	// bootMargin is how much later than the boot a key must have been made to be
	// surely newer: an earlier process ran keys up to ClockBound ahead of its
	// clock, and its clock may have been ClockBound ahead of this one.
	bootMargin = 2 * idempotency.ClockBound
)

// Ledger is the memory of one gate. It is safe for concurrent use.
type Ledger struct {
	cfg         Config
	bootTime    time.Time
	retention   time.Duration
	entryCount  atomic.Int64
	storedBytes atomic.Int64
	shards      [shardCount]shard
}

// New returns an empty ledger of a process that started at boot.
func New(cfg Config, boot time.Time) *Ledger {
	cfg = cfg.withDefaults()
	// A key outlives the horizon by the margin, so that it is beyond the
	// horizon by the key's own time before it is forgotten.
	l := &Ledger{cfg: cfg, bootTime: boot, retention: cfg.Horizon + bootMargin}
	for i := range l.shards {
		l.shards[i].entries = make(map[string]*Entry)
	}
	return l
}

// Len returns the number of keys held.
func (l *Ledger) Len() int {
	return int(l.entryCount.Load())
}

// Bytes returns the size of the stored answers in bytes.
func (l *Ledger) Bytes() int {
	return int(l.storedBytes.Load())
}

// Begin decides what to do with a request.
func (l *Ledger) Begin(req Request, now time.Time) Decision {
	if req.Key.Minted {
		// Only one process knows the key, and it sends it once at a time.
		return Decision{Kind: Run, Entry: &Entry{}}
	}
	s := l.shardOf(req.ScopedKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := l.lookup(s, req.ScopedKey, now); e != nil {
		return l.decideKnown(s, e, req, now)
	}
	if refusal := l.newKeyRefusal(s, req, now); refusal != nil {
		return l.refuseUnknown(s, req, refusal, now)
	}
	e := l.insert(s, req.ScopedKey)
	if e == nil {
		// Proof: the gate alone may run the key, it has not, and it won't now.
		return refuse(verdict.Refuse(verdict.ReasonLedgerFull, retryAfter))
	}
	e.digest = req.Digest
	e.timed = req.Key.Timed()
	return Decision{Kind: Run, Entry: e}
}

// Fence makes sure that this host neither ran a key nor runs it within the
// horizon, and says Fenced when that is so. The verdict is MayHaveRun, since
// another gate may run the key. It does not fence a key that runs or ran, one
// that an earlier process of the host may have run, or one for which there is
// no room.
func (l *Ledger) Fence(req Request, now time.Time) *verdict.Error {
	s := l.shardOf(req.ScopedKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := l.lookup(s, req.ScopedKey, now); e != nil {
		if !e.running && e.outcome == OutcomeFenced {
			return fencedError()
		}
		return unknownKeyError()
	}
	if l.mayHaveRunBefore(s, req, now) || req.Key.Ahead(now) > 0 {
		// A key from ahead could look newer than the next process of this host,
		// which won't know of the fence.
		return l.refuseUnknown(s, req, unknownKeyError(), now).Refusal
	}
	e := l.insert(s, req.ScopedKey)
	if e == nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonLedgerFull, nil)
	}
	e.timed = req.Key.Timed()
	l.finishNew(s, e, OutcomeFenced, now)
	return fencedError()
}

// decideKnown decides on a key that the ledger holds.
func (l *Ledger) decideKnown(s *shard, e *Entry, req Request, now time.Time) Decision {
	if !e.running && !e.timed {
		l.startExpiry(s, e, now) // an untimed key has no other sign of its age
	}
	if e.digest != req.Digest && e.digest != [32]byte{} && req.Digest != [32]byte{} {
		// Proof: the gate doesn't run a request whose body differs from the key's.
		return Decision{Kind: Conflict, Refusal: verdict.New(verdict.NotRun, verdict.ReasonKeyConflict, nil)}
	}
	if e.running {
		return Decision{Kind: Join, Entry: e}
	}
	return e.decision()
}

// newKeyRefusal returns why a key that the ledger doesn't hold may not run, or nil.
func (l *Ledger) newKeyRefusal(s *shard, req Request, now time.Time) *verdict.Error {
	if req.Ownership != nil {
		return req.Ownership
	}
	if l.mayHaveRunBefore(s, req, now) {
		return unknownKeyError()
	}
	if ahead := req.Key.Ahead(now); ahead > 0 {
		// Proof: the gate alone may run the key, it has not, and it won't now.
		return verdict.Refuse(verdict.ReasonKeyRequired, ahead)
	}
	if req.RefuseUntimed && !req.Key.Timed() {
		// Proof: the gate alone may run the key, it has not, and it won't now.
		return verdict.Refuse(verdict.ReasonKeyRequired, 0)
	}
	return nil
}

// mayHaveRunBefore reports whether a key that the ledger doesn't hold may have run on
// this host before: in an earlier process, or so long ago that it was forgotten.
func (l *Ledger) mayHaveRunBefore(s *shard, req Request, now time.Time) bool {
	if req.Key.Timed() {
		return !req.Key.Time.After(l.bootTime.Add(bootMargin)) || now.Sub(req.Key.Time) > l.cfg.Horizon
	}
	since := l.bootTime
	if s.lastUntimedRefusal.After(since) {
		since = s.lastUntimedRefusal
	}
	return now.Sub(since) < req.ResendWindow
}

// refuseUnknown refuses a key that the ledger doesn't hold, and remembers a key
// that may have run: a re-send after the window must find it.
func (l *Ledger) refuseUnknown(s *shard, req Request, refusal *verdict.Error, now time.Time) Decision {
	if refusal.Reason != verdict.ReasonUnknownKey || req.Key.Timed() {
		return refuse(refusal) // a timed key never becomes newer than the boot
	}
	e := l.insert(s, req.ScopedKey)
	if e == nil {
		s.lastUntimedRefusal = now
		return refuse(refusal)
	}
	l.finishNew(s, e, OutcomeMayHaveRun, now)
	return refuse(refusal)
}

// finishNew ends a new entry that nobody runs.
func (l *Ledger) finishNew(s *shard, e *Entry, outcome Outcome, now time.Time) {
	e.running = false
	e.outcome = outcome
	close(e.done)
	l.startExpiry(s, e, now)
}

// reserveAnswer returns the answer when there is room to store it, or else nil.
func (l *Ledger) reserveAnswer(answer *Answer) *Answer {
	if answer == nil || answer.size() > l.cfg.MaxAnswerBytes {
		return nil
	}
	size := int64(answer.size())
	if l.storedBytes.Add(size) > int64(l.cfg.MaxBytes) {
		l.storedBytes.Add(-size)
		return nil
	}
	return answer
}

func (l *Ledger) shardOf(scopedKey string) *shard {
	return &l.shards[xxhash.Sum64String(scopedKey)%shardCount]
}

func refuse(refusal *verdict.Error) Decision {
	return Decision{Kind: Refuse, Refusal: refusal}
}

func unknownKeyError() *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownKey, nil)
	e.RetryAfter = retryAfter
	return e
}

func ownershipLostError() *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonNoLease, nil)
	e.RetryAfter = retryAfter
	return e
}

// fencedError is MayHaveRun, since the next gate in rank may run the key.
func fencedError() *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonFenced, nil)
	e.Fenced = true
	return e
}
