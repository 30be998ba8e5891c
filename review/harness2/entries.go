package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// contact is the time after a disruption from which a machine is in touch.
const contact = 3 * time.Second

// silentCase: all links between nodes that are open go silent for good, new ones work.
func silentCase(r *record, trouble bool) (bool, error) {
	const patience, burst = 5 * time.Second, 5 * serverSlots
	routes := []map[string]any{route("first", "/first/", "safe", "front")}
	config := func(v int) map[string]any { return configuration(v, routes, "front", "depot") }
	f, err := startFleet(r, []string{"front", "front", "depot", "depot"}, true, config)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	routes = append(routes, route("later", "/later/", "unsafe", "depot"))
	f.publish(config)
	time.Sleep(2 * contact)
	entries := f.machines[:2]
	for _, m := range f.machines[2:] {
		m.server.work = 250 * time.Millisecond
	}
	for range 3 {
		// Under this many at a time each node opens a link to each server's node.
		for _, m := range entries {
			r.line("%d of %d requests at the same time served", sendMany(r, m.callers(), "/later/x", "burst-"+m.ip, burst), burst)
		}
	}
	first, later := sendBoth(r, entries, "before", 3*time.Second)
	r.line("before: %v of the first route, %v of the later route served", first, later)
	if trouble {
		for _, m := range f.machines {
			r.line("%d links to %s go silent", m.proxy.silence(), m.ip)
		}
	}
	go sendBoth(r, entries, "during", contact+patience)
	time.Sleep(contact + patience)
	first, later = sendBoth(r, entries, "after", 20*time.Second)
	r.line("from %s after the disruption on, for 20 s: %v of the first route, %v of the later route served", contact+patience, first, later)
	return later.sent >= 20 && later.share() < first.share()/4, nil
}

// tally counts requests.
type tally struct{ served, sent int64 }

func (t tally) String() string { return fmt.Sprintf("%d of %d", t.served, t.sent) }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// sendBoth sends requests on both routes to some machines for a time, four a second to each
// on each route.
func sendBoth(r *record, entries []*machine, name string, d time.Duration) (first, later tally) {
	var wg sync.WaitGroup
	var n atomic.Int64
	send := func(m *machine, target string, t *tally) {
		defer wg.Done()
		atomic.AddInt64(&t.sent, 1)
		served := sendMany(r, m.callers(), target, fmt.Sprintf("%s-%d", name, n.Add(1)), 1)
		atomic.AddInt64(&t.served, int64(served))
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, m := range entries {
			wg.Add(2)
			go send(m, "/first/x", &first)
			go send(m, "/later/x", &later)
		}
	}
	wg.Wait()
	return first, later
}

// poisonCase: a request that crashes the servers that run it comes again and again; the nodes
// beside the servers of the service are killed at the same moment, twice.
func poisonCase(r *record, trouble bool) (bool, error) {
	const permitted, away, expiry = 3, 2 * time.Second, 4500 * time.Millisecond
	f, _, err := begin(r, []string{"front", "front", "front", "front", "front", "depot", "depot", "depot"}, func() []map[string]any {
		return []map[string]any{route("order", "/orders/", "unsafe", "depot")}
	})
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var runs []time.Time
	crashed := func(s *server, id string) {
		mu.Lock()
		runs = append(runs, time.Now())
		mu.Unlock()
		time.AfterFunc(expiry, func() { f.store.Delete("servers/" + id) })
		time.AfterFunc(away, func() {
			if err := s.start(); err != nil {
				r.line("server at %s does not start: %v", s.address, err)
				return
			}
			for _, m := range f.machines {
				if m.server == s {
					f.register(m)
				}
			}
		})
	}
	entries, beside := f.machines[:5], f.machines[5:]
	for _, m := range beside {
		m.server.crashes, m.server.onCrash = func(q ran) bool { return q.target == "/orders/bad" }, crashed
	}
	begun := time.Now()
	kills := []time.Duration{15 * time.Second, 33 * time.Second}
	for n := 0; time.Since(begun) < 52*time.Second; n++ {
		if trouble && len(kills) > 0 && time.Since(begun) > kills[0] {
			kills = kills[1:]
			for _, m := range beside {
				r.line("SIGKILL for the node on %s", m.ip)
				_ = m.node.Process.Signal(syscall.SIGKILL) // it may have ended
			}
			for _, m := range beside {
				<-m.ended
			}
			time.Sleep(time.Second)
			if err := f.restartEnded(); err != nil {
				return false, err
			}
		}
		id, m := fmt.Sprintf("bad-%d", n), entries[n%len(entries)]
		go func() {
			c, err := dialClient(m.callers())
			if err != nil {
				r.line("client can't connect: %v", err)
				return
			}
			defer c.close()
			r.line("client sends %s to %s", id, m.ip)
			r.line("client: %s", c.send("DELETE", "/orders/bad", id, 1500*time.Millisecond, ""))
		}()
		time.Sleep(700 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range runs {
		if i >= permitted && at.After(runs[permitted-1].Add(contact)) {
			late++
		}
	}
	r.line("%d runs crashed a server; %d of them began later than %s after the third", len(runs), late, contact)
	return late > permitted, nil
}
