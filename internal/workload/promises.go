package workload

import (
	"context"
	"sync"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/node"
)

// LeavingBound is the time after which a data centre or a host that was taken
// out receives no new work.
const LeavingBound = 5 * time.Second

// Broken counts broken promises.
type Broken struct {
	RanTwice         int `json:"ranTwice"`
	ToldNotRunButRan int `json:"toldNotRunButRan"`
	AnsweredNotRun   int `json:"answeredButNotRun"`
	WrongAnswer      int `json:"wrongAnswer"`
	OlderVersion     int `json:"olderVersion"`
	ColdOverload     int `json:"coldOverload"`
	WorkAtLeaving    int `json:"workAtLeaving"`
}

// Total returns the number of broken promises.
func (b Broken) Total() int {
	return b.RanTwice + b.ToldNotRunButRan + b.AnsweredNotRun + b.WrongAnswer +
		b.OlderVersion + b.ColdOverload + b.WorkAtLeaving
}

// Add adds the counts of another tally on the same fleet. Cold overloads and
// work at leaving hosts are the fleet's and count once.
func (b *Broken) Add(other Broken) {
	b.RanTwice += other.RanTwice
	b.ToldNotRunButRan += other.ToldNotRunButRan
	b.AnsweredNotRun += other.AnsweredNotRun
	b.WrongAnswer += other.WrongAnswer
	b.OlderVersion += other.OlderVersion
}

// Absence is a time in which a data centre was out.
type Absence struct {
	DataCentre datacentre.ID
	From, To   time.Time
}

// Broken compares what callers were told with the servers' record.
func (t *Tally) Broken(f *Fleet, absences []Absence, older int) Broken {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Broken{WrongAnswer: t.wrong, OlderVersion: older, ColdOverload: t.record.ColdOverloads()}
	for _, e := range t.ends {
		runs := t.record.Count(e.operation)
		if !e.idempotent && runs > 1 {
			b.RanTwice++
		}
		if e.notRun && runs > 0 {
			b.ToldNotRunButRan++
		}
		if e.good && runs == 0 {
			b.AnsweredNotRun++
		}
	}
	b.WorkAtLeaving = f.workAtLeaving(absences)
	return b
}

// workAtLeaving counts runs at hosts that were out for longer than the bound.
func (f *Fleet) workAtLeaving(absences []Absence) int {
	count := 0
	for _, run := range f.Record.Runs() {
		for _, a := range absences {
			late := run.At.After(a.From.Add(LeavingBound)) && run.At.Before(a.To)
			if late && f.CentreOf(run.Host) == a.DataCentre {
				count++
			}
		}
	}
	return count
}

// LastWork returns how long after the take-out the last run began.
func (f *Fleet) LastWork(a Absence) time.Duration {
	var last time.Duration
	for _, run := range f.Record.Runs() {
		inside := run.At.After(a.From) && run.At.Before(a.To)
		if inside && f.CentreOf(run.Host) == a.DataCentre {
			last = max(last, run.At.Sub(a.From))
		}
	}
	return last
}

// CentreOf returns the data centre of a host.
func (f *Fleet) CentreOf(id host.ID) datacentre.ID {
	for _, m := range f.Members {
		if m.Listing.ID == id {
			return m.Listing.Place.DataCentre
		}
	}
	return ""
}

// ServiceOf returns the service of a host.
func (f *Fleet) ServiceOf(id host.ID) string {
	for _, m := range f.Members {
		if m.Listing.ID == id {
			return m.Listing.Service
		}
	}
	return ""
}

// VersionWatch notices a node that goes back to an older version.
type VersionWatch struct {
	fleet *Fleet
	done  chan struct{}
	work  sync.WaitGroup
	older int
}

// WatchVersions starts a watch; Stop ends it.
func (f *Fleet) WatchVersions(ctx context.Context) *VersionWatch {
	w := &VersionWatch{fleet: f, done: make(chan struct{})}
	w.work.Go(func() { w.run(ctx) })
	return w
}

// watchPoll is the interval of looks at the nodes' versions.
const watchPoll = 5 * time.Millisecond

func (w *VersionWatch) run(ctx context.Context) {
	seen := map[*node.Node]config.Version{}
	ticker := time.NewTicker(watchPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.done:
			return
		case <-ctx.Done():
			return
		}
		for _, m := range w.fleet.Members {
			n := m.Node()
			if n == nil {
				continue
			}
			version := n.Version()
			if version.Less(seen[n]) {
				w.older++
			}
			seen[n] = version
		}
	}
}

// Stop ends the watch and returns how often a node went back.
func (w *VersionWatch) Stop() int {
	close(w.done)
	w.work.Wait()
	return w.older
}
