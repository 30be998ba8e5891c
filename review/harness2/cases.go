package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// callers returns the outbound address of a machine.
func (m *machine) callers() string { return m.address(m.fleet.ports.callers) }

// begin starts a fleet whose routes are returned by routes. The services are front, whose
// machines take the requests, and depot, which runs them.
func begin(r *record, services []string, routes func() []map[string]any) (*fleet, func(int) map[string]any, error) {
	config := func(v int) map[string]any { return configuration(v, routes(), "front", "depot") }
	f, err := startFleet(r, services, false, config)
	return f, config, err
}

// headerCase: while clients read large answers on kept connections, one answer of the same
// server has a header with a byte above 127.
func headerCase(r *record, trouble bool) (bool, error) {
	const downloads, size, part = 6, 540_000, 400_000
	f, _, err := begin(r, []string{"front", "depot"}, func() []map[string]any {
		return []map[string]any{route("catalogue", "/catalogue/", "download", "depot"), route("order", "/orders/", "unsafe", "depot")}
	})
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	name := "Norre"
	if trouble {
		name = "N\xf8rre" // in ISO 8859-1
	}
	f.machines[1].server.answer = func(q ran) answer {
		switch q.target {
		case "/catalogue/large":
			return answer{body: bytes.Repeat([]byte("0123456789"), size/10), pauseAt: part, pause: 700 * time.Millisecond}
		case "/orders/1":
			return answer{body: []byte("placed " + q.id + "\n"), extra: "Content-Disposition: attachment; filename=\"" + name + ".txt\"\r\n"}
		default:
			return answer{body: []byte("small " + q.id + "\n")}
		}
	}
	outcomes := make([]outcome, downloads)
	var wg sync.WaitGroup
	for i := range downloads {
		c, err := dialClient(f.machines[0].callers())
		if err != nil {
			return false, err
		}
		defer c.close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.line("client: %s", c.send("GET", "/catalogue/small", fmt.Sprintf("small-%d", i), 1500*time.Millisecond, ""))
			r.line("client sends large-%d on the same connection", i)
			outcomes[i] = c.send("GET", "/catalogue/large", fmt.Sprintf("large-%d", i), 1500*time.Millisecond, "")
			r.line("client: %s", outcomes[i])
		}()
	}
	time.Sleep(500 * time.Millisecond)
	c, err := dialClient(f.machines[0].callers())
	if err != nil {
		return false, err
	}
	defer c.close()
	r.line("client sends order-1")
	r.line("client: %s", c.send("DELETE", "/orders/1", "order-1", 1500*time.Millisecond, ""))
	wg.Wait()
	cut := 0
	for _, o := range outcomes {
		if o.closed && !o.whole {
			cut++
		}
	}
	r.line("%d of %d kept connections ended without a whole answer", cut, downloads)
	return cut > 3, nil
}

// pathCase: a path that begins with two slashes, on a route for all paths of a host.
func pathCase(r *record, trouble bool) (bool, error) {
	f, _, err := begin(r, []string{"front", "depot"}, func() []map[string]any {
		return []map[string]any{route("all", "/", "unsafe", "depot")}
	})
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	sent := map[string]string{}
	c, err := dialClient(f.machines[0].callers())
	if err != nil {
		return false, err
	}
	defer c.close()
	for i := range 5 {
		id, target := fmt.Sprintf("mark-%d", i), fmt.Sprintf("/marks/%d?buoy=7", i)
		if trouble {
			target = "/" + target
		}
		sent[id] = target
		r.line("client sends %s: DELETE %s", id, target)
		r.line("client: %s", c.send("DELETE", target, id, 1500*time.Millisecond, ""))
	}
	broken := false
	for _, q := range f.machines[1].server.allRuns() {
		if q.target != sent[q.id] {
			broken = true
			r.line("server ran %s with the target %q, sent was %q", q.id, q.target, sent[q.id])
		}
	}
	return broken, nil
}

// attemptsCase: a configuration whose max_attempts sets practically no bound.
func attemptsCase(r *record, trouble bool) (bool, error) {
	const minMachines, minEnds = 2, 3
	attempts := 2
	f, config, err := begin(r, []string{"front", "front", "depot"}, func() []map[string]any {
		read := route("read", "/read/", "safe", "depot")
		read["max_attempts"] = attempts
		return []map[string]any{read}
	})
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		attempts = 1<<31 - 1
	}
	f.publish(config)
	time.Sleep(2 * time.Second)
	for n, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); n++ {
		answered := 0
		for i, m := range f.machines {
			answered += sendMany(r, m.callers(), "/read/x", fmt.Sprintf("read-%d-%d", n, i), 2)
		}
		r.line("%d of %d requests were answered with success", answered, 2*len(f.machines))
		time.Sleep(500 * time.Millisecond)
		if err := f.restartEnded(); err != nil {
			return false, err
		}
	}
	machines := 0
	for _, m := range f.machines {
		r.line("the process of the node on %s ended by itself %d times", m.ip, m.ends)
		if m.ends >= minEnds {
			machines++
		}
	}
	return machines >= minMachines, nil
}

// sendMany sends n requests at the same time and returns how many were answered with success.
func sendMany(r *record, address, target, id string, n int) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered := 0
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dialClient(address)
			if err != nil {
				r.line("client can't connect: %v", err)
				return
			}
			defer c.close()
			o := c.send("GET", target, fmt.Sprintf("%s-%d", id, i), 1500*time.Millisecond, "")
			r.line("client: %s", o)
			mu.Lock()
			defer mu.Unlock()
			if o.status == 200 && o.whole {
				answered++
			}
		}()
	}
	wg.Wait()
	return answered
}
