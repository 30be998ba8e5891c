package balance

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"boragefall/internal/contract"
)

const (
	// maxWorkRoutes bounds the routes whose work is remembered, since routes change over
	// time.
	maxWorkRoutes = 512
	// workWeight is the weight of an answer in the work of its route: run times vary by
	// about a third.
	workWeight = 0.05
	// minWork and maxWork bound the work of one answer relative to the mean.
	minWork, maxWork = 0.05, 20
)

// routeWork holds the work of each route relative to the mean of the servers that run it.
type routeWork struct {
	routes *simplelru.LRU[string, *float64]
}

func newRouteWork() routeWork {
	routes, err := simplelru.NewLRU[string, *float64](maxWorkRoutes, nil)
	if err != nil {
		panic(err) // only if maxWorkRoutes is not positive
	}
	return routeWork{routes: routes}
}

// of returns the relative work of a route; 1 while it is not known.
func (w *routeWork) of(route string) float64 {
	if work, ok := w.routes.Get(route); ok {
		return *work
	}
	return 1
}

// peek is like of, but does not count as a use of the route.
func (w *routeWork) peek(route string) float64 {
	if work, ok := w.routes.Peek(route); ok {
		return *work
	}
	return 1
}

func (w *routeWork) add(route string, work float64) {
	work = min(max(work, minWork), maxWork)
	known, ok := w.routes.Get(route)
	if !ok {
		w.routes.Add(route, &work)
		return
	}
	*known += workWeight * (work - *known)
}

// RecordWork records how long a gate took for a request of a route, with the load that it
// reported. While requests wait at the gate, its time shows nothing about their work.
func (b *Balancer) RecordWork(route string, gateTime time.Duration, load *contract.Load) {
	if load.ServiceTime <= 0 || gateTime <= 0 || load.Queued > 0 {
		return
	}
	expected := load.ServiceTime.Seconds() * slowdownOf(load)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.add(route, gateTime.Seconds()/expected)
}

// slowdownOf returns the slowdown that a gate reported, as a factor; 1 if it reported none.
func slowdownOf(load *contract.Load) float64 {
	if load.Slowdown <= 0 {
		return 1
	}
	return float64(min(max(load.Slowdown, minSlowdown), maxSlowdown)) / 100
}
