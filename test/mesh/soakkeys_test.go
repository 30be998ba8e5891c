package mesh

import (
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/mesh"
)

// keyedCallers send requests with keys beside the load of a soak: one workspace loses its
// key, another sends more than its quota.
type keyedCallers struct {
	fleet *fleet
	quota mesh.Quota
	stop  chan struct{}
	work  sync.WaitGroup

	mu sync.Mutex
	// removedAt is when the store acknowledged the configuration without the key.
	removedAt time.Time
	// removed holds when requests with that key were sent, by ID.
	removed map[string]time.Time
}

// removalDelay is how long the key is valid after the start.
const removalDelay = 3 * time.Second

// startKeyedCallers publishes workspaces and starts their callers. All other callers of the
// fleet belong to a workspace without a limit.
func startKeyedCallers(f *fleet) *keyedCallers {
	k := &keyedCallers{fleet: f, quota: mesh.Quota{Rate: 10, Burst: 10}, stop: make(chan struct{}), removed: map[string]time.Time{}}
	publish := func(workspaces ...map[string]any) {
		f.publishing.Lock()
		f.workspaces = append([]map[string]any{
			{"name": "north", "api_keys": []string{northKey}},
			{"name": "south", "api_keys": []string{southKey}, "rate_per_s": k.quota.Rate, "burst": k.quota.Burst},
		}, workspaces...)
		f.publishing.Unlock()
		f.publish(nil)
	}
	f.key = northKey
	publish(map[string]any{"name": "leaving", "api_keys": []string{removedKey}})
	time.Sleep(configBound)
	k.send(southKey, 25*time.Millisecond, func(call) {})
	k.send(removedKey, 100*time.Millisecond, func(c call) { k.removed[c.id] = c.sent })
	k.work.Go(func() {
		time.Sleep(removalDelay)
		publish()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.removedAt = time.Now()
	})
	return k
}

// send sends a request with a key to each machine in turn, until stop.
func (k *keyedCallers) send(key string, interval time.Duration, sent func(call)) {
	k.work.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-k.stop:
				return
			case <-tick.C:
			}
			k.work.Go(func() {
				defer GinkgoRecover()
				c := k.fleet.doWithKey(k.fleet.machines[n%len(k.fleet.machines)], key, http.MethodGet, "/status/a", nil)
				k.mu.Lock()
				defer k.mu.Unlock()
				sent(c)
			})
		}
	})
}

// check ends the callers and checks what ran.
func (k *keyedCallers) check() {
	GinkgoHelper()
	close(k.stop)
	k.work.Wait()
	var limited []time.Time
	for _, run := range k.fleet.record.Runs() {
		Expect(run.Credentials).To(BeEmpty())
		Expect(run.Workspace).To(BeElementOf("north", "south", "leaving"))
		if run.Workspace == "south" {
			limited = append(limited, run.At)
		}
		if sentAt, ok := k.removed[run.ID]; ok {
			Expect(sentAt.Sub(k.removedAt)).To(BeNumerically("<", revocationLimit), "a removed key ran\n%s", k.fleet.logsOf(run.ID))
		}
	}
	Expect(mostWithin(limited, quotaTolerance.Window)).To(BeNumerically("<=", quotaTolerance.Bound(k.quota)))
}

// mostWithin returns the greatest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) float64 {
	slices.SortFunc(times, time.Time.Compare)
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return float64(most)
}
