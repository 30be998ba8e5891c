package sidecar

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/catalog"
)

func TestItemsSurvivePacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p := newPacker()
		for revision := range uint64(3) {
			in := catalog.Item{
				Key: "k", Revision: revision + 1, Deleted: rapid.Bool().Draw(t, "deleted"),
				Value: bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "value"), rapid.IntRange(1, 100).Draw(t, "times")),
			}
			for range 2 {
				message, err := p.pack(in)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(unpack(message)).To(Equal(in))
			}
		}
	})
}

// Leaders with links of 10 Mbit/s were overrun by their followers when a
// configuration of 100 KB came in clear.
func TestAConfigurationIsSentInATenthOfItsSize(t *testing.T) {
	g := NewWithT(t)
	route := []byte(`{"name":"r-89anu6w","host":"hulo84.example","prefix":"/xapu221/ny95/","route_type":"safe","timeout":"1500ms"},`)
	message, err := newPacker().pack(catalog.Item{Key: "k", Value: bytes.Repeat(route, 500)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(message.GetValue())).To(BeNumerically("<", len(route)*500/10))
}

func TestABrokenValueOfAnotherNodeIsAnError(t *testing.T) {
	g := NewWithT(t)
	message, err := newPacker().pack(catalog.Item{Key: "k", Value: make([]byte, packBytes)})
	g.Expect(err).NotTo(HaveOccurred())
	message.Value = message.Value[:len(message.Value)/2]
	_, err = unpack(message)
	g.Expect(err).To(HaveOccurred())
}
