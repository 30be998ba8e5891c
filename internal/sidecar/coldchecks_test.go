package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
)

// testColdLimit is the number of requests that a cold server may receive in a second.
const testColdLimit = 24

// coldServer turns cold at a time, and says so in its health answers only.
type coldServer struct {
	instantServer
	coldAt time.Time

	mu     sync.Mutex
	starts []time.Time // while it is cold
	checks int
}

func (s *coldServer) Do(_ context.Context, r serverconn.Request) (*serverconn.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, response := time.Now(), protocol.ServerResponse{Signed: true, Server: "10.0.0.2"}
	if r.ServerRequest.Probe {
		s.checks++
	}
	if !now.Before(s.coldAt) {
		s.starts = append(s.starts, now)
		if r.ServerRequest.Probe {
			response.ColdFor = time.Minute
		}
	}
	return serverAnswer(http.StatusOK, response), nil
}

// playColdServer sends requests at several times the cold rate to a server that turns cold
// after a second.
func playColdServer(t *testing.T, stale bool) *coldServer {
	const perSecond = 200
	hop := newTestHop(t, newTestView(1))
	hop.staleCopy = func(time.Time) bool { return stale }
	hop.gate.SetLimits(9, testColdLimit)
	hop.coldChecks.setRate(testColdLimit)
	server := &coldServer{coldAt: time.Now().Add(time.Second)}
	hop.client = server
	for i := range 4 * perSecond {
		go func() {
			r := requestTo("10.0.0.2", http.NoBody, 0)
			r.ID = fmt.Sprint(i)
			r.Deadline, r.Objective = time.Now().Add(100*time.Millisecond), time.Now().Add(100*time.Millisecond)
			_, _ = hop.Run(t.Context(), r) // most are refused
		}()
		time.Sleep(time.Second / perSecond)
	}
	time.Sleep(time.Second) // all requests have ended
	server.mu.Lock()
	defer server.mu.Unlock()
	return server
}

// Guards against a node that is cut off and sends to the server beside it at the full rate
// after the server turned cold: the server falls over.
func TestGateWithAStaleCopyNoticesThatItsServerTurnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := playColdServer(t, true)
		g.Expect(len(server.starts)).To(BeNumerically(">", testColdLimit))
		for i := testColdLimit; i < len(server.starts); i++ {
			g.Expect(server.starts[i].Sub(server.starts[i-testColdLimit])).To(BeNumerically(">=", time.Second), "start %d", i)
		}
	})
}

// Guards against health checks that cost something while the copy is current.
func TestGateWithACurrentCopyMakesNoColdChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		NewWithT(t).Expect(playColdServer(t, false).checks).To(BeZero())
	})
}
