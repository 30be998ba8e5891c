package ledger

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/idempotency"
	"boragefall/internal/verdict"
)

const (
	// shardCount is the number of shards, each with its own lock.
	shardCount = 64
	// retryAfter is the Retry-After of refusals.
	retryAfter = time.Second
	// bootMargin is how much later than the boot a key must have been generated to be surely
	// newer than the process: an earlier process ran keys up to ClockBound ahead of its
	// clock, and its clock may have been ClockBound ahead of this one.
	bootMargin = 2 * idempotency.ClockBound
)

// Ledger stores the idempotency keys of one gate. It is safe for concurrent use.
type Ledger struct {
	cfg         Config
	bootTime    time.Time
	retention   time.Duration
	entryCount  atomic.Int64
	storedBytes atomic.Int64
	shards      [shardCount]shard
}

// New returns an empty Ledger for a process that started at boot.
func New(cfg Config, boot time.Time) *Ledger {
	cfg = cfg.withDefaults()
	// Entries are kept longer than the horizon by the margin, so that a key is
	// beyond the horizon by its own time before its entry is removed.
	l := &Ledger{cfg: cfg, bootTime: boot, retention: cfg.Horizon + bootMargin}
	for i := range l.shards {
		l.shards[i].entries = make(map[string]*Entry)
	}
	return l
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int {
	return int(l.entryCount.Load())
}

// Bytes returns the size of the stored answers in bytes.
func (l *Ledger) Bytes() int {
	return int(l.storedBytes.Load())
}

// Begin decides how to handle a request and adds an entry when it may run.
func (l *Ledger) Begin(req Request, now time.Time) Decision {
	if req.Key.Minted {
		// Only one process knows the key, and its sends never overlap.
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
		// Proof: only this gate may run the key; it has not run it and won't run it now.
		return refuse(verdict.Refuse(verdict.ReasonLedgerFull, retryAfter))
	}
	e.digest = req.Digest
	e.timed = req.Key.Timed()
	return Decision{Kind: Run, Entry: e}
}

// Fence guarantees that this host has not run the key and will not run it within the
// horizon; the returned error then has Fenced set. Its verdict is MayHaveRun, since another
// gate may run the key. Fence does not fence a key that is running or has run, a key that an
// earlier process of this host may have run, or a key for which the ledger has no room.
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
		// A key ahead of the clock could be newer than the boot of this host's next
		// process, which has no record of the fence and would run the key.
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

// decideKnown returns the decision on a key that the ledger holds.
func (l *Ledger) decideKnown(s *shard, e *Entry, req Request, now time.Time) Decision {
	if !e.running && !e.timed {
		l.startExpiry(s, e, now) // the age of an untimed key is known only from its last request
	}
	if e.digest != req.Digest && e.digest != [32]byte{} && req.Digest != [32]byte{} {
		// Proof: the gate doesn't run a request whose body differs from the key's first one.
		return Decision{Kind: Conflict, Refusal: verdict.New(verdict.NotRun, verdict.ReasonKeyConflict, nil)}
	}
	if e.running {
		return Decision{Kind: Join, Entry: e}
	}
	return e.decision()
}

// newKeyRefusal returns the refusal of a key that the ledger doesn't hold, or nil when the
// key may run.
func (l *Ledger) newKeyRefusal(s *shard, req Request, now time.Time) *verdict.Error {
	if req.Ownership != nil {
		return req.Ownership
	}
	if l.mayHaveRunBefore(s, req, now) {
		return unknownKeyError()
	}
	if ahead := req.Key.Ahead(now); ahead > 0 {
		// Proof: only this gate may run the key; it has not run it and won't run it now.
		return verdict.Refuse(verdict.ReasonKeyRequired, ahead)
	}
	if req.RefuseUntimed && !req.Key.Timed() {
		// Proof: only this gate may run the key; it has not run it and won't run it now.
		return verdict.Refuse(verdict.ReasonKeyRequired, 0)
	}
	return nil
}

// mayHaveRunBefore reports whether a key that the ledger doesn't hold may have run on this
// host: in an earlier process, or so long ago that its entry was removed.
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

// refuseUnknown refuses a key that the ledger doesn't hold. It adds an entry for an untimed
// key that may have run, so that a re-send after the window finds the key.
func (l *Ledger) refuseUnknown(s *shard, req Request, refusal *verdict.Error, now time.Time) Decision {
	if refusal.Reason != verdict.ReasonUnknownKey || req.Key.Timed() {
		return refuse(refusal) // a timed key that may have run never becomes newer than the boot
	}
	e := l.insert(s, req.ScopedKey)
	if e == nil {
		s.lastUntimedRefusal = now
		return refuse(refusal)
	}
	l.finishNew(s, e, OutcomeMayHaveRun, now)
	return refuse(refusal)
}

// finishNew ends a new entry whose request does not run.
func (l *Ledger) finishNew(s *shard, e *Entry, outcome Outcome, now time.Time) {
	e.running = false
	e.outcome = outcome
	close(e.done)
	l.startExpiry(s, e, now)
}

// reserveAnswer reserves memory for the answer and returns it, or nil when it exceeds the
// limits.
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

// fencedError returns MayHaveRun, since the next ranked gate may run the key.
func fencedError() *verdict.Error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonFenced, nil)
	e.Fenced = true
	return e
}
