package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/workload"
)

func TestCarryOnFollowsTheSlope(t *testing.T) {
	g := NewWithT(t)
	slope, at := carryOn(10, 50, 5, 13)
	g.Expect(slope).To(BeNumerically("~", 0.2))
	g.Expect(at).To(BeNumerically("~", 363))
}

func TestLoadTakesTheSameShareOfEveryService(t *testing.T) {
	g := NewWithT(t)
	d, err := workload.Named("fyrnet")
	g.Expect(err).NotTo(HaveOccurred())
	d = d.WithWorkTime(40 * time.Millisecond)
	load := loadFor(d, 0.6, "hvide-sande")
	total, rates := 0, map[string]float64{}
	for _, o := range load.Operations {
		total += o.Share
	}
	for _, o := range load.Operations {
		rates[o.Service] += load.Rate * float64(o.Share) / float64(total)
	}
	// Hosts outside hvide-sande, of 10 slots, each run of 40 ms.
	for service, hosts := range map[string]float64{"status": 4, "ordering": 3, "logbook": 3} {
		g.Expect(rates[service]).To(BeNumerically("~", 0.6*hosts*10/0.040, 1), service)
	}
}

func TestSizesFlag(t *testing.T) {
	g := NewWithT(t)
	var s sizes
	g.Expect(s.Set("10,200")).To(Succeed())
	g.Expect(s).To(Equal(sizes{10, 200}))
	g.Expect(s.String()).To(Equal("10,200"))
	g.Expect(s.Set("10,x")).NotTo(Succeed())
	g.Expect(s.Set("0")).NotTo(Succeed())
}
