package mesh

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/standin"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds")
	soakLogs  = flag.String("soak.logs", "", "directory that keeps all nodes' logs, by seed")
	soakFor   = flag.Duration("soak.for", 8*time.Second, "time of faults for each seed")
)

const (
	// soakRate is the callers' requests a second.
	soakRate = 90
	// recovery is how long the mesh may take to serve again after the last fault.
	recovery = 15 * time.Second
	// recoveredShare is the share of requests that are good then. All servers
	// are up and warm, so nothing but a crossing restart may fail.
	recoveredShare = 0.95
	// checkedFor is how long the share is measured.
	checkedFor = 3 * time.Second
)

// soak injects faults drawn from a seed into a fleet.
type soak struct {
	*fleet
	random  *rand.Rand
	proxies []*proxy
	// leaving holds when servers said that they leave.
	leaving map[string]time.Time
	steps   []string
}

func (s *soak) note(format string, args ...any) {
	s.steps = append(s.steps, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *soak) machine() *machine {
	return s.machines[s.random.IntN(len(s.machines))]
}

// span draws a time up to a limit.
func (s *soak) span(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// step injects one fault. Faults of different kinds overlap, since most end
// later on their own.
func (s *soak) step() {
	m := s.machine()
	switch s.random.IntN(10) {
	case 0:
		s.note("kill the node of %s", m.ip)
		m.kill()
		time.Sleep(s.span(300 * time.Millisecond))
		m.start()
	case 1:
		s.note("stop the node of %s", m.ip)
		m.signal(syscall.SIGTERM)
		if err := m.wait(); m.served() {
			Expect(err).NotTo(HaveOccurred(), "a planned stop of %s", m.ip)
		}
		m.start()
	case 2:
		pause := s.span(2 * time.Second)
		s.note("pause the node of %s for %v", m.ip, pause)
		m.signal(syscall.SIGSTOP)
		time.AfterFunc(pause, func() { m.signal(syscall.SIGCONT) })
	case 3:
		p := s.proxies[s.random.IntN(len(s.proxies))]
		f, length := fault(1+s.random.IntN(3)), s.span(2*time.Second)
		s.note("fault %d on the links to %s for %v", f, p.target, length)
		p.set(f)
		time.AfterFunc(length, func() { p.set(faultNone) })
	case 4:
		s.note("reset the links to %s", m.ip)
		s.proxies[s.random.IntN(len(s.proxies))].reset()
	case 5:
		s.note("crash the server of %s", m.ip)
		m.server.Crash()
		time.Sleep(s.span(500 * time.Millisecond))
		Expect(m.server.Start()).To(Succeed())
	case 6:
		s.note("drain the server of %s and start another", m.ip)
		m.server.Drain()
		s.leaving[m.server.ID()] = time.Now()
		time.Sleep(s.span(time.Second))
		m.server.Leave()
		Expect(m.server.Start()).To(Succeed())
	case 7:
		mode, length := standin.MetaStoreMode(1+s.random.IntN(2)), s.span(2*time.Second)
		s.note("store in mode %d for %v", mode, length)
		s.store.SetMode(mode)
		time.AfterFunc(length, func() { s.store.SetMode(standin.MetaStoreUp) })
	case 8:
		s.note("configurations and a forgotten history")
		for range 1 + s.random.IntN(4) {
			s.publish(nil)
		}
		s.store.Compact()
	case 9:
		zone, length := m.zone, s.span(time.Second)
		s.note("evacuate %s for %v", zone, length)
		s.store.Put("op/evacuate/"+zone, map[string]any{})
		time.Sleep(length)
		s.store.Delete("op/evacuate/" + zone)
	}
	time.Sleep(s.span(400 * time.Millisecond))
}

// calm ends all faults and waits until all nodes are ready.
func (s *soak) calm() {
	for _, p := range s.proxies {
		p.set(faultNone)
	}
	s.store.SetMode(standin.MetaStoreUp)
	for _, m := range s.machines {
		m.signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second) // what was still to end on its own
	for _, m := range s.machines {
		Eventually(m.isReady, patience).Should(BeTrue(), m.ip)
	}
}

func (s *soak) play() {
	defer func() {
		for _, step := range s.steps {
			GinkgoWriter.Println(step) // shown when the seed fails
		}
	}()
	var settled time.Time
	calls := s.during(soakRate, func() {
		for end := time.Now().Add(*soakFor); time.Now().Before(end); {
			s.step()
		}
		s.note("calm")
		s.calm()
		time.Sleep(recovery)
		settled = time.Now()
		time.Sleep(checkedFor)
	})
	s.checkPromises(calls)
	checkColdRate(s.record.Runs())
	for _, run := range s.record.Runs() {
		if at, ok := s.leaving[run.Server]; ok {
			// The store may be away for two seconds, and nodes may be paused as
			// long; the platform stretches its bound by less than both together.
			Expect(run.At.Sub(at)).To(BeNumerically("<", drainBound+4*time.Second), "work for leaving %s", run.Server)
		}
	}
	Expect(goodShare(calls, settled)).To(BeNumerically(">=", recoveredShare))
	s.expectRejected(s.machines[0], s.key, "/nowhere/", http.StatusNotFound)
}

// logsOfSeed returns the directory for the logs of a seed.
func logsOfSeed(seed uint64) string {
	if *soakLogs == "" {
		return GinkgoT().TempDir()
	}
	dir := filepath.Join(*soakLogs, fmt.Sprint("seed-", seed))
	Expect(os.MkdirAll(dir, 0o700)).To(Succeed())
	return dir
}

var _ = Describe("the soak", func() {
	// Seeds that failed once stay here, each with its cause.
	//
	// 106: SIGTERM came 91 ms after the start of a node that was paused at once,
	// before it handled signals or listened; it ended by the signal. Nothing can
	// have been cut: the check now asks for a clean end only of a node that served.
	seeds := []uint64{106}

	BeforeEach(func() {
		for i := range *soakSeeds {
			seeds = append(seeds, *soakSeed+uint64(i))
		}
	})

	play := func(seed uint64, prepare func(*soak)) {
		s := &soak{random: rand.New(rand.NewPCG(seed, 0)), leaving: map[string]time.Time{}}
		s.fleet = startFleet(logsOfSeed(seed), func(i int) string { return fmt.Sprintf("127.0.2.%d", i+1) })
		for i, m := range s.machines {
			s.proxies = append(s.proxies, newProxy(m.address(s.ports.links), fmt.Sprintf("127.0.2.%d:%d", i+1, s.ports.links)))
		}
		prepare(s)
		GinkgoWriter.Println("seed", seed, "logs in", s.dir)
		started := time.Now()
		s.play()
		GinkgoWriter.Println("seed", seed, "held after", time.Since(started).Round(time.Second), len(s.steps), "faults")
	}

	It("keeps every promise under drawn faults", func() {
		for _, seed := range seeds {
			play(seed, func(*soak) {})
		}
	})

	It("keeps its promises on keys and quotas under drawn faults", func() {
		var keyed *keyedCallers
		play(*soakSeed, func(s *soak) { keyed = startKeyedCallers(s.fleet) })
		keyed.check()
	})
})
