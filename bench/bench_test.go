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
	for _, d := range workload.Deployments() {
		d = d.WithWorkTime(40 * time.Millisecond)
		out := d.DataCentres[1]
		load := loadFor(d, 0.6, out)
		rates := map[string]float64{}
		total := 0
		for _, o := range load.Operations {
			total += o.Share
		}
		for _, o := range load.Operations {
			rates[o.Service] += load.Rate * float64(o.Share) / float64(total)
		}
		for _, s := range d.Services {
			capacity := float64(d.HostsOutside(s.Name, out)*s.Slots) / s.WorkTime.Seconds()
			g.Expect(rates[s.Name]/capacity).To(BeNumerically("~", 0.6, 0.01), s.Name)
		}
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
