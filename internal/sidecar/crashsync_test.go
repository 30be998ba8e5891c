package sidecar

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/telemetry"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

// gateGroup is the gates of one service; those that are away get no notices.
type gateGroup struct {
	*WithT
	gates map[string]*crashSync
	away  map[string]bool
}

func (w *gateGroup) start(address string) *crashSync {
	s := &crashSync{logger: telemetry.Silent()}
	s.peers = func() []string {
		var out []string
		for other := range w.gates {
			if other != address {
				out = append(out, other)
			}
		}
		return out
	}
	s.exchange = func(_ context.Context, peer string, m *wire.CrashNotice) (*wire.CrashNotice, error) {
		if w.away[peer] || w.away[address] {
			return nil, errors.New("no connection")
		}
		now, tracker := time.Now(), w.gates[peer].tracker
		tracker.applyNotice(decodeCrashNotice(m, now))
		return encodeCrashNotice(crashNotice{quarantined: tracker.quarantinedRequests(now)}, now), nil
	}
	var err error
	s.tracker, err = newCrashTracker(s.notify, telemetry.Silent())
	w.Expect(err).NotTo(HaveOccurred())
	w.gates[address] = s
	return s
}

func newGateGroup(t *testing.T, addresses ...string) *gateGroup {
	w := &gateGroup{WithT: NewWithT(t), gates: map[string]*crashSync{}, away: map[string]bool{}}
	for _, address := range addresses {
		w.start(address)
	}
	return w
}

// crash lets a request crash the servers beside three gates.
func (w *gateGroup) crash(addresses ...string) {
	for _, address := range addresses {
		time.Sleep(time.Second) // the request comes again
		startedAt := time.Now()
		time.Sleep(runTime)
		w.gates[address].tracker.recordBroken(brokenRun{fingerprint: crashingRequest, server: "a", startedAt: startedAt, brokenAt: time.Now()})
		w.gates[address].tracker.recordUnreachable()
		synctest.Wait()
	}
}

func (w *gateGroup) quarantines(address string) bool {
	return w.gates[address].tracker.quarantined(crashingRequest, time.Now())
}

// Guards against a restarted node that runs a request again which its peers refuse.
func TestNodeThatStartsKnowsWhatItsPeersRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newGateGroup(t, "a", "b", "c")
		w.crash("a", "b", "c")
		w.Expect(w.quarantines("b")).To(BeTrue())
		w.start("b")
		w.Expect(w.quarantines("b")).To(BeFalse())
		w.away["c"] = true
		w.gates["b"].fetch()
		w.Expect(w.quarantines("b")).To(BeTrue())
		time.Sleep(quarantineDuration)
		w.Expect(w.quarantines("b")).To(BeFalse(), "a peer does not prolong it")
	})
}

// Guards against a node that missed the notices, as it was cut off, and runs the request.
func TestNodeThatMissedNoticesHearsOfThemLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newGateGroup(t, "a", "b")
		w.away["b"] = true
		w.crash("a", "a", "a")
		w.Expect(w.quarantines("b")).To(BeFalse())
		w.away["b"] = false
		w.gates["a"].syncOnce(t.Context(), time.Now())
		w.Expect(w.quarantines("b")).To(BeTrue())
	})
}

// Guards against an entry that tries one gate after the other with a request that
// crashes servers, until it finds one that does not know of it.
func TestEntryRemembersThatARequestIsQuarantined(t *testing.T) {
	w := newDispatcherFixture(t, 3)
	w.peers.answer = func(_ context.Context, n int, _ *contract.Request) (*contract.Answer, error) {
		if n == 0 {
			return nil, verdict.Refuse(verdict.ReasonQuarantined, 0)
		}
		return answerWithStatus(http.StatusOK), nil
	}
	for range 3 {
		_, e := w.do(t.Context(), true)
		w.Expect(e.Reason).To(Equal(verdict.ReasonQuarantined))
	}
	w.Expect(w.peers.sendCount()).To(Equal(1))
	w.dispatcher.quarantined.until[0] = time.Now()
	_, e := w.do(t.Context(), true)
	w.Expect(e).To(BeNil())
}
