package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"boragefall/internal/copytree"
)

// settled is longer than nodes avoid others that were not up yet when they started.
const settled = 13 * time.Second

// playStale removes the entry of a server while the node beside it stands still and the
// nodes that this node follows are stopped and started in turn. Then clients on the
// machine that stood still send requests.
func playStale(program, dir string, rec *record, trouble bool) (string, bool, error) {
	var places []place
	for _, service := range []string{"front", "marks"} {
		for _, zone := range []string{"z1", "z2", "z3"} {
			places = append(places, place{zone, service})
		}
	}
	f, err := newFleet(program, dir, rec, 42, places, []map[string]any{
		route("mark", "/marks/", "unsafe", "marks"), route("front", "/front/", "unsafe", "front"),
	})
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return "", false, err
	}
	frozen, first, second, err := f.follower()
	if err != nil {
		return "", false, err
	}
	rec.add("node %s follows %s, and %s after that", frozen.ip, first.ip, second.ip)
	path := map[string]string{"marks": "/marks/usual", "front": "/front/usual"}[frozen.service]
	time.Sleep(settled)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	began := time.Now()
	var work sync.WaitGroup
	work.Go(func() { _ = first.restart() }) // a node that is not back shows in the record
	time.Sleep(time.Second)
	removed := frozen.server.leave()
	work.Go(func() { _ = second.restart() }) // likewise
	time.Sleep(time.Until(began.Add(5 * time.Second)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	inTouch := time.Now().Add(contact)
	work.Wait()
	time.Sleep(time.Until(inTouch))
	rec.add("machine %s is in touch", frozen.ip)
	stop := make(chan struct{})
	work.Go(func() { frozen.sendEvery(50*time.Millisecond, stop, path, []byte("a mark")) })
	time.Sleep(6 * time.Second)
	close(stop)
	work.Wait()
	late := 0
	for _, r := range frozen.server.began() {
		if r.at.After(removed.Add(drain)) && r.at.After(inTouch) {
			late++
		}
	}
	seen := fmt.Sprintf("%d requests reached the server later than %v after its entry was removed, from a machine in touch; none is permitted", late, drain)
	return seen, late > 0, nil
}

// follower returns a machine whose node follows another one, the machine that it follows,
// and the one that it follows if that one is gone.
func (f *fleet) follower() (frozen, first, second *machine, err error) {
	var members []copytree.Member
	byAddress := map[string]*machine{}
	for _, m := range f.machines {
		address := m.at(f.ports.links)
		members = append(members, copytree.Member{Address: address, DataCentre: m.zone})
		byAddress[address] = m
	}
	ranking := copytree.NewRanking(members)
	for i, m := range f.machines {
		up, ok := ranking.Upstream(members[i], func(string) bool { return true })
		if !ok {
			continue
		}
		next, ok := ranking.Upstream(members[i], func(address string) bool { return address != up.Address })
		if ok {
			return m, byAddress[up.Address], byAddress[next.Address], nil
		}
	}
	return nil, nil, nil, fmt.Errorf("no node follows another one: %w", errNotReady)
}
