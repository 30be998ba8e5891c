package ledger

import (
	"container/list"
	"time"

	"boragefall/internal/verdict"
)

// Entry is one key in the ledger. All fields except done are guarded by the shard's lock.
// After done is closed, only expires and expiryElement change.
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

// Done returns a channel that is closed when the request that runs the key has ended.
func (e *Entry) Done() <-chan struct{} {
	return e.done
}

// Result returns the decision for the requests that joined. It is valid after Done is
// closed. It refuses with NotRun only if the joined run ended with NotRun.
func (e *Entry) Result() Decision {
	return e.decision()
}

// Finish records how the request ended. The answer is used with OutcomeRan only and may be
// nil. An answer over the ledger's limits is not stored; later requests then learn only that
// the key ran. Only the first call has an effect.
func (e *Entry) Finish(outcome Outcome, answer *Answer, now time.Time) {
	if e.ledger == nil {
		return // a minted key has no entry in the ledger, since no other request can use it
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

// decision returns the decision on a request for a key whose run has ended.
func (e *Entry) decision() Decision {
	switch e.outcome {
	case OutcomeRan:
		if e.answer != nil {
			return Decision{Kind: Replay, Answer: e.answer}
		}
		return Decision{Kind: RanWithoutAnswer, Refusal: verdict.New(verdict.Ran, verdict.ReasonAnswerLost, nil)}
	case OutcomeNotRun:
		// Proof: the joined run ended before the request was sent to the server,
		// and at that time the gate was still the only one that may run the key.
		return refuse(verdict.Refuse(verdict.ReasonOverloaded, retryAfter))
	case OutcomeOwnershipLost:
		return refuse(ownershipLostError())
	case OutcomeFenced:
		return refuse(fencedError())
	default:
		return refuse(unknownKeyError())
	}
}
