package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/protocol"
)

const (
	// limitSettleTime is the time after a server first states a limit from which on the
	// platform counts, and limitNoticeTime the time within which a node may not know of it.
	limitSettleTime = 3 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	// limitWindow, limitOvershoot and limitSlack are the platform's bound: in any window a
	// server gets at most limitOvershoot times its limit, and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

// rateLimit is the notice of a server that accepts a number of requests a second.
func rateLimit(perSecond float64) protocol.ServerNotice {
	return protocol.ServerNotice{RateLimit: contract.RateLimit{Stated: true, PerSecond: perSecond}}
}

// mostInWindow returns the most arrivals in a window that ends limitSettleTime or later
// after the limit was stated, of those that the platform counts.
func mostInWindow(arrivals []time.Time, statedAt time.Time) int {
	most := 0
	for last := range arrivals {
		if arrivals[last].Before(statedAt.Add(limitSettleTime)) {
			continue
		}
		count := 0
		for _, at := range arrivals[:last+1] {
			if at.After(arrivals[last].Add(-limitWindow)) && at.After(statedAt.Add(limitNoticeTime)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func permittedInWindow(perSecond float64) float64 {
	return limitOvershoot*perSecond*limitWindow.Seconds() + limitSlack
}

// limitedScenario is one service of five servers, four of which state half of the rate
// that they get as their limit; the fifth has slots for the rest.
func limitedScenario(limits []float64) loadScenario {
	return loadScenario{
		services: []loadService{{name: "status", slots: 18, speeds: []float64{1, 1, 1, 1, 1}}},
		routes: map[string]loadRoute{"read": {
			service: "status", perSecond: 120, work: 90 * time.Millisecond,
			objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond, idempotent: true,
		}},
		phases: []loadPhase{{3 * time.Second, 1}, {10 * time.Second, 1}},
		setUp: func(w *loadSimulation) {
			time.AfterFunc(3*time.Second, func() {
				for i, limit := range limits {
					w.nodes[i].state(rateLimit(limit))
				}
			})
		},
	}
}

// Guards against gates that do not know what rate their servers state: servers that stated
// half of their rate as a limit got as many requests as before.
func TestLimitedServersGetNoMoreThanTheyState(t *testing.T) {
	g := NewWithT(t)
	limits := []float64{12, 6.4, 0.5, 12}
	w := simulateLoad(t, limitedScenario(limits))
	for i, limit := range limits {
		n := w.nodes[i]
		most := mostInWindow(n.arrivedAt, n.noticedAt)
		t.Logf("limit %.1f a second: at most %d in a window, permitted %.0f", limit, most, permittedInWindow(limit))
		g.Expect(float64(most)).To(BeNumerically("<=", permittedInWindow(limit)))
	}
	reads := w.tallies["read"]
	t.Logf("%v", reads)
	// The fifth server has slots for all requests that the others do not accept.
	g.Expect(reads.refused + reads.failed).To(BeNumerically("<=", reads.sent/100))
	g.Expect(reads.onTime).To(BeNumerically(">=", reads.sent*95/100))
}
