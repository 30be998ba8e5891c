package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// permittedRetries is the number of times that a request that crashes servers may reach
// one later than contact after it has crashed the third.
const permittedRetries = 3

// playPoison sends a request that crashes each server that begins to run it again and
// again, as its client does, and stops and starts the nodes beside these servers in turn.
func playPoison(program, dir string, rec *record, trouble bool) (string, bool, error) {
	places := []place{
		{"z1", "front"}, {"z2", "front"}, {"z3", "front"},
		{"z1", "marks"}, {"z2", "marks"}, {"z3", "marks"},
	}
	f, err := newFleet(program, dir, rec, 41, places, []map[string]any{route("mark", "/marks/", "unsafe", "marks")})
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return "", false, err
	}
	entries, nodes := f.machines[:3], f.machines[3:]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range entries {
		clients.Go(func() { m.sendEvery(150*time.Millisecond, stop, "/marks/usual", []byte(fmt.Sprint("mark ", i))) })
	}
	time.Sleep(4 * time.Second)
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(700 * time.Millisecond):
				entries[i%len(entries)].send("POST", "/marks/poison", poison)
			}
		}
	})
	third, crashedThree := awaitThirdCrash(nodes, 25*time.Second)
	if crashedThree {
		rec.add("the request has crashed the third server")
		time.Sleep(contact + 3*time.Second)
		for range 2 {
			for _, m := range nodes {
				if trouble {
					if err := m.restart(); err != nil {
						return "", false, err
					}
				}
				time.Sleep(5 * time.Second)
			}
		}
	}
	close(stop)
	clients.Wait()
	if !crashedThree {
		return "the request did not crash three servers", false, errNotReady
	}
	late := 0
	for _, at := range poisonRuns(nodes) {
		if at.After(third.Add(contact)) {
			late++
		}
	}
	seen := fmt.Sprintf("the request reached servers %d times later than %v after it had crashed the third; %d are permitted", late, contact, permittedRetries)
	return seen, late > permittedRetries, nil
}

// sendEvery sends a usual request at an interval until stop is closed.
func (m *machine) sendEvery(interval time.Duration, stop <-chan struct{}, path string, body []byte) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			m.send("POST", fmt.Sprint(path, i), body)
		}
	}
}

// poisonRuns returns when servers began to run the request that crashes them.
func poisonRuns(nodes []*machine) []time.Time {
	var at []time.Time
	for _, m := range nodes {
		for _, r := range m.server.began() {
			if r.poison {
				at = append(at, r.at)
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	return at
}

// awaitThirdCrash waits for the third crash and returns its time.
func awaitThirdCrash(nodes []*machine, limit time.Duration) (time.Time, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if at := poisonRuns(nodes); len(at) >= 3 {
			return at[2], true
		}
	}
	return time.Time{}, false
}
