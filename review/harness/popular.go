package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lostShare and lostFor are the dose of the lost answers; three of five servers lose
	// them at a time.
	lostShare = 0.4
	lostFor   = 4 * time.Second
	// pause is the time between the disruptions, and calm the time after the last one, in
	// which machines are in touch again.
	pause = 4 * time.Second
	calm  = contact + 5*time.Second
	// boardWork and readInterval make servers about seven tenths busy.
	boardWork    = 90 * time.Millisecond
	readInterval = 26 * time.Millisecond
	// fewRequests is the number of requests on a later route below which the rule is silent.
	fewRequests = 20
)

// tally counts the requests on a route that were sent in a time.
type tally struct {
	mu           sync.Mutex
	from         time.Time
	sent, served int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.from.IsZero() || a.sent.Before(t.from) {
		return
	}
	t.sent++
	if a.status == 200 && a.signed && a.whole {
		t.served++
	}
}

func (t *tally) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.from = time.Now()
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// playPopular adds a route on which many clients read the same page. Then servers lose
// some answers for some seconds, four times. It compares how often requests on both routes are served
// in the calm time after that.
func playPopular(program, dir string, rec *record, trouble bool) (string, bool, error) {
	places := []place{
		{"z1", "front"}, {"z2", "front"}, {"z3", "front"},
		{"z1", "board"}, {"z2", "board"}, {"z3", "board"}, {"z1", "board"}, {"z2", "board"},
	}
	first := route("first", "/first/", "safe", "board")
	f, err := newFleet(program, dir, rec, 43, places, []map[string]any{first})
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return "", false, err
	}
	entries, nodes := f.machines[:3], f.machines[3:]
	for _, m := range nodes {
		m.server.work = boardWork
	}
	f.store.Put("op/config", configuration("r6", []map[string]any{first, route("later", "/later/", "safe", "board")}, places))
	rec.add("the store has accepted version r6, which adds a route")
	time.Sleep(3 * time.Second)
	onFirst, onLater := &tally{}, &tally{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range entries {
		clients.Go(func() {
			m.readEvery(readInterval, stop, onFirst, func(n int) string { return fmt.Sprintf("/first/%d-%d", i, n) })
		})
		clients.Go(func() {
			m.readEvery(readInterval, stop, onLater, func(int) string { return "/later/standings" })
		})
	}
	time.Sleep(3 * time.Second)
	for _, losing := range [][]*machine{nodes[:3], nodes[2:], {nodes[4], nodes[0], nodes[1]}, {nodes[3], nodes[4], nodes[0]}} {
		if trouble {
			for _, m := range losing {
				rec.add("server at %s loses answers", m.ip)
				m.server.lose(lostShare)
			}
		}
		time.Sleep(lostFor)
		for _, m := range losing {
			m.server.lose(0)
		}
		rec.add("no answers are lost any more")
		time.Sleep(pause)
	}
	time.Sleep(calm)
	rec.add("steady state")
	onFirst.start()
	onLater.start()
	time.Sleep(30 * time.Second)
	close(stop)
	clients.Wait()
	seen := fmt.Sprintf("in steady state %d of %d requests on the first route were served, and %d of %d on the later route",
		onFirst.served, onFirst.sent, onLater.served, onLater.sent)
	return seen, onLater.sent >= fewRequests && onLater.share() < onFirst.share()/4, nil
}

// readEvery sends reads at an interval until stop is closed, without waiting for answers.
func (m *machine) readEvery(interval time.Duration, stop <-chan struct{}, t *tally, path func(n int) string) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			reads.Go(func() { t.add(m.send("GET", path(n), nil)) })
		}
	}
}
