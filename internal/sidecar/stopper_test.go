package sidecar

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/telemetry"
)

// A stop closed the links as soon as the server ran nothing. Requests of other nodes
// that the gate had just refused, or whose answers were on their way, were cut.
func TestAPlannedStopWaitsForAnswersToOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		states := newFlags()
		s := &stopper{
			grace: 10 * time.Second, flags: states, hop: hopOf(t, viewOf(1)),
			callers: callersServer{&http.Server{}}, logger: telemetry.Silent(),
		}
		const answers = 4 * time.Second
		states.serving.Add(1)
		time.AfterFunc(answers, func() { states.serving.Add(-1) })
		started := time.Now()
		s.drain(t.Context())
		g.Expect(time.Since(started)).To(BeNumerically(">=", answers))
		g.Expect(time.Since(started)).To(BeNumerically("<", answers+2*stopPoll))
	})
}
