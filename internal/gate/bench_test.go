package gate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"boragefall/internal/config"
)

// benchGate returns a warm gate whose limit is its number of slots.
func benchGate(slots int) *Gate {
	g := New(Config{Service: config.Service{Slots: slots, Connections: slots, ColdLimit: slots, QueueLimit: 1 << 16}}, nil)
	g.limiter.warm = true
	return g
}

// BenchmarkAdmit measures an admission and its end on the fast path.
func BenchmarkAdmit(b *testing.B) {
	ctx := context.Background()
	outcome := Outcome{Kind: OutcomeSuccess, Latency: time.Millisecond, BootID: testBoot}
	b.Run("alone", func(b *testing.B) {
		g := benchGate(1000)
		b.ReportAllocs()
		for b.Loop() {
			p, _ := g.Admit(ctx, Request{Caller: "crew", Fingerprint: 1})
			p.Done(outcome)
		}
	})
	for _, slots := range []int{1000, 10} {
		b.Run(fmt.Sprintf("parallel/slots=%d", slots), func(b *testing.B) {
			g := benchGate(slots)
			b.ReportAllocs()
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if p, err := g.Admit(ctx, Request{Caller: "crew", Fingerprint: 1}); err == nil {
						p.Done(outcome)
					}
				}
			})
		})
	}
}

// BenchmarkRefuse measures a refusal while many callers wait.
func BenchmarkRefuse(b *testing.B) {
	g := benchGate(10)
	g.cfg.Service.QueueLimit = 20
	now := time.Now()
	for i := range 30 {
		acc := g.accounts.getOrCreate(fmt.Sprint(i), 1, now)
		if i < 10 {
			g.start(Request{}, acc, now)
			continue
		}
		g.enqueue(&waiter{account: acc, result: make(chan result, 1)}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Admit(context.Background(), Request{Caller: "1", Weight: 1}); err == nil {
			b.Fatal("Admit admitted a request with a full queue")
		}
	}
}

// BenchmarkLoad measures the load read that routing does.
func BenchmarkLoad(b *testing.B) {
	g := benchGate(10)
	for b.Loop() {
		g.Load()
	}
}
