package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"boragefall/internal/mesh"
	"boragefall/internal/quota"
)

// tolerance and window are those of the deployments that set quotas.
var tolerance = quota.Tolerance{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}

// workspace is the name of the workspace of a world.
const workspace = "north"

// way decides which requests of one workspace are admitted at the hosts of a fleet.
type way interface {
	// admit reports whether a request at a host is admitted.
	admit(host int, now time.Time) bool
	// messages returns the number of messages so far.
	messages() int
}

// world plays the requests of one workspace at a fleet, in virtual time without network.
type world struct {
	random *rand.Rand
	quota  mesh.Quota
	hosts  int
	// clients holds the host of each client. Clients send at the same rate.
	clients []int
	// load is the rate of all clients together, as a multiple of the quota's rate.
	load func(at time.Duration) float64
	// change is called before each request.
	change func(at time.Duration)
}

// outcome is what a world saw.
type outcome struct {
	// worst is the greatest number of admitted requests in a window over the bound.
	worst float64
	// refusedWrongly is the share of the requests that the quota permits and that were
	// refused.
	refusedWrongly float64
	// served is the number of admitted requests per request that the quota permits.
	served float64
	// messagesPerSecond counts the messages between hosts.
	messagesPerSecond float64
}

func (o outcome) String() string {
	return fmt.Sprintf("worst window %.2f of the bound, refused wrongly %.3f, served %.2f of the quota, %.0f messages/s",
		o.worst, o.refusedWrongly, o.served, o.messagesPerSecond)
}

// epoch is when worlds begin; ledgers are settled long before.
var epoch = time.Unix(1_000_000, 0)

// play plays a world for a time.
func (w *world) play(w1 way, length time.Duration) outcome {
	ideal := rate.NewLimiter(rate.Limit(w.quota.Rate), int(w.quota.Burst))
	var admitted []time.Duration
	permitted, wrong, served := 0, 0, 0
	worst := 0.0
	for at := time.Duration(0); at < length; {
		at += time.Duration(w.random.ExpFloat64() / (w.load(at) * w.quota.Rate) * float64(time.Second))
		now := epoch.Add(at)
		if w.change != nil {
			w.change(at)
		}
		host := w.clients[w.random.IntN(len(w.clients))]
		owed := ideal.AllowN(now, 1)
		ok := w1.admit(host, now)
		if owed {
			permitted++
		}
		if owed && !ok {
			wrong++
		}
		if !ok {
			continue
		}
		served++
		admitted = append(admitted, at)
		for admitted[0] <= at-tolerance.Window {
			admitted = admitted[1:]
		}
		worst = max(worst, float64(len(admitted))/tolerance.Bound(w.quota))
	}
	return outcome{
		worst: worst, refusedWrongly: float64(wrong) / float64(max(permitted, 1)),
		served: float64(served) / float64(max(permitted, 1)), messagesPerSecond: float64(w1.messages()) / length.Seconds(),
	}
}

// steady is a load at which a workspace stays within its quota: deployments set a quota
// of 1.6 times what is usual.
func steady(time.Duration) float64 { return 1 / 1.6 }

// newWorld returns a world in which clients are spread over hosts at random.
func newWorld(seed uint64, hosts, clients int, rate float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, seed)), hosts: hosts, load: steady, quota: mesh.Quota{Rate: rate, Burst: rate}}
	for range clients {
		w.clients = append(w.clients, w.random.IntN(hosts))
	}
	return w
}

// evenShares gives each host the same part of the quota.
type evenShares struct{ limiters []*rate.Limiter }

func newEvenShares(w *world) *evenShares {
	s := &evenShares{}
	for range w.hosts {
		s.limiters = append(s.limiters, rate.NewLimiter(rate.Limit(w.quota.Rate/float64(w.hosts)), max(int(w.quota.Burst)/w.hosts, 1)))
	}
	return s
}

func (s *evenShares) admit(host int, now time.Time) bool { return s.limiters[host].AllowN(now, 1) }
func (s *evenShares) messages() int                      { return 0 }

// reportInterval is how often hosts report in reportedUsage.
const reportInterval = 250 * time.Millisecond

// reportedUsage lets hosts admit freely while the usage that they report is far from the
// quota. Near it, shares follow the usage of the interval before.
type reportedUsage struct {
	quota     mesh.Quota
	counts    []int
	limits    []float64 // admitted requests permitted in this interval; negative is free
	intervalN int64
	sent      int
}

func newReportedUsage(w *world) *reportedUsage {
	r := &reportedUsage{quota: w.quota, counts: make([]int, w.hosts), limits: make([]float64, w.hosts)}
	for i := range r.limits {
		r.limits[i] = -1
	}
	return r
}

// nearLimit is the share of the quota from which usage is coordinated.
const nearLimit = 0.8

func (r *reportedUsage) admit(host int, now time.Time) bool {
	if n := now.UnixNano() / int64(reportInterval); n != r.intervalN {
		r.intervalN = n
		r.report()
	}
	r.counts[host]++
	if limit := r.limits[host]; limit >= 0 {
		if limit < 1 {
			return false
		}
		r.limits[host]--
	}
	return true
}

func (r *reportedUsage) report() {
	total := 0
	for _, n := range r.counts {
		total += n
		if n > 0 {
			r.sent += 2
		}
	}
	share := r.quota.Rate * reportInterval.Seconds()
	for i, n := range r.counts {
		switch {
		case float64(total) < nearLimit*share:
			r.limits[i] = -1
		default:
			r.limits[i] = max(r.limits[i], 0) - float64(int(max(r.limits[i], 0))) + share*float64(n)/float64(total)
		}
		r.counts[i] = 0
	}
}

func (r *reportedUsage) messages() int { return r.sent }

// homes asks the home of the workspace for credits, as nodes do.
type homes struct {
	world    *world
	names    []string
	ledgers  []*quota.Ledger
	accounts []*quota.Account
	// views holds the ranking that each host uses.
	views []*quota.Homes
	// down are hosts whose process has ended, cut those that reach only themselves.
	down, cut map[int]bool
	sent      int
}

func address(host int) string { return fmt.Sprintf("10.0.%d.%d:7000", host/250, host%250) }

var hostByAddress = func() map[string]int {
	hosts := map[string]int{}
	for host := range 2000 {
		hosts[address(host)] = host
	}
	return hosts
}()

func newHomes(w *world) *homes {
	h := &homes{world: w, down: map[int]bool{}, cut: map[int]bool{}}
	var members []string
	for i := range w.hosts {
		members = append(members, address(i))
	}
	view := quota.NewHomes(members, nil, epoch.Add(-time.Hour))
	for range w.hosts {
		h.names = append(h.names, address(len(h.names)))
		h.ledgers = append(h.ledgers, quota.NewLedger(tolerance))
		h.accounts = append(h.accounts, &quota.Account{})
		h.views = append(h.views, view)
	}
	return h
}

func (h *homes) hostOf(member string) int { return hostByAddress[member] }

// first returns the host that ranks first for the workspace.
func (h *homes) first() int {
	first, _ := h.views[0].Rank(workspace)
	return h.hostOf(first)
}

// restart starts a host's process anew.
func (h *homes) restart(host int, now time.Time) {
	h.ledgers[host], h.accounts[host] = quota.NewLedger(tolerance), &quota.Account{}
	var members []string
	for i := range h.world.hosts {
		members = append(members, address(i))
	}
	h.views[host] = quota.NewHomes(members, nil, now)
	delete(h.down, host)
}

func (h *homes) admit(host int, now time.Time) bool {
	if h.down[host] {
		return false
	}
	a := h.accounts[host]
	a.Count(now)
	if a.Take(now) {
		if wanted := a.Wanted(0, now); wanted > 0 {
			h.ask(host, wanted, now)
		}
		return true
	}
	if a.RefusedFor(now) > 0 || !h.ask(host, a.Wanted(1, now), now) {
		return false
	}
	return a.Take(now)
}

func (h *homes) ask(host, wanted int, now time.Time) bool {
	first, second := h.views[host].Rank(workspace)
	if h.reaches(host, h.hostOf(first)) {
		h.grant(host, h.hostOf(first), wanted, quota.RoleHome, now)
		return true
	}
	role := quota.RoleStandIn
	if h.down[h.hostOf(first)] && !h.cut[host] {
		role = quota.RoleSuccessor // the connection is refused
	}
	if !h.reaches(host, h.hostOf(second)) {
		return false
	}
	h.grant(host, h.hostOf(second), wanted, role, now)
	return true
}

func (h *homes) reaches(host, other int) bool {
	return host == other || !h.down[other] && !h.cut[host] && !h.cut[other]
}

func (h *homes) grant(host, at, wanted int, role quota.Role, now time.Time) {
	if host != at {
		h.sent += 2
	}
	since, first := h.views[at].FirstSince(workspace, h.names[at])
	if !first {
		since = now
	}
	h.accounts[host].Add(h.ledgers[at].Grant(quota.Request{
		Workspace: workspace, Quota: h.world.quota, Wanted: wanted, Role: role, HomeSince: since,
	}, now), now)
}

func (h *homes) messages() int { return h.sent }
