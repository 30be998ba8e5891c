package routing

import (
	"fmt"
	"testing"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

// BenchmarkMatch looks up a route among 130 services with ten routes each.
func BenchmarkMatch(b *testing.B) {
	routes := map[string]config.Route{}
	for s := range 130 {
		for r := range 10 {
			m := config.Match{PathPrefix: fmt.Sprintf("/service%d/kind%d", s, r)}
			if r%3 == 0 {
				m.Methods = []string{"GET"}
			}
			routes[fmt.Sprintf("%d-%d", s, r)] = config.Route{Match: m}
		}
	}
	table := NewTable(&config.Document{Routes: routes})
	request := MatchRequest{Method: "GET", Host: "api.example:8080", Path: "/service77/kind6/items/1234/state", Header: noHeaders}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Match(request); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{2, 7} { // 6 and 21 servers, of which 20 are used
		b.Run(fmt.Sprint(min(3*n, 20)), func(b *testing.B) {
			p := NewPool(localPlace, "me", warmServers(n, 0, 1, 2), PoolConfig{})
			exclude := []host.ID{"dc0-0"}
			now := time.Now()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					s, ok := p.Choose(Random{}, exclude, now)
					if !ok {
						b.Fatal("no server")
					}
					s.Stats.Finish(Outcome{At: now, Latency: time.Millisecond})
				}
			})
		})
	}
}
