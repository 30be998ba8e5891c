package ledger

import (
	"container/list"
	"time"

	"boragefall/internal/verdict"
)

// Entry is one key in the ledger. Its fields besides done are guarded by the
// shard's lock and don't change after done is closed, except expires.
type Entry struct {
	ledger        *Ledger
	scopedKey     string
	digest        [32]byte
	timed         bool
	running       bool
	outcome       Outcome
	answer        *Answer
	done          chan struct{}
	expires       time.Time
	expiryElement *list.Element // nil while the request runs
}

// Done is closed when the request that runs the key has ended.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// Result returns the decision for those that joined. It is valid after Done is
// closed. It refuses with NotRun only when the run it joined ended so.
func (e *Entry) Result() Decision {
	return e.decision()
}

// Finish records how the request ended. The answer counts with OutcomeRan only
// and may be nil; a longer one than the ledger takes is dropped, and later
// requests learn that the key ran. Only the first call counts.
func (e *Entry) Finish(outcome Outcome, answer *Answer, now time.Time) {
	if e.ledger == nil {
		return // a minted key: nobody else can ask for it
	}
	s := e.ledger.shardOf(e.scopedKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.running {
		return
	}
	e.running = false
	e.outcome = outcome
	if outcome == OutcomeRan {
		e.answer = e.ledger.reserveAnswer(answer)
	}
	if outcome == OutcomeNotRun || outcome == OutcomeOwnershipLost {
		e.ledger.remove(s, e)
	} else {
		e.ledger.startExpiry(s, e, now)
	}
	close(e.done)
}

// decision answers a request for a key that has ended.
func (e *Entry) decision() Decision {
	switch e.outcome {
	case OutcomeRan:
		if e.answer != nil {
			return Decision{Kind: Replay, Answer: e.answer}
		}
		return Decision{Kind: RanWithoutAnswer, Refusal: verdict.New(verdict.Ran, verdict.ReasonAnswerLost, nil)}
	case OutcomeNotRun:
		// Proof: the run that was joined ended before the server got the request,
		// and the gate still was the only one that may run the key.
		return refuse(verdict.Refuse(verdict.ReasonOverloaded, retryAfter))
	case OutcomeOwnershipLost:
		return refuse(ownershipLostError())
	case OutcomeFenced:
		return refuse(fencedError())
	default:
		return refuse(unknownKeyError())
	}
}
