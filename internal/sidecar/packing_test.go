package sidecar

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/catalog"
	"boragefall/internal/wire"
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

func TestAWholeStateSurvivesPacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p := newPacker()
		for revision := uint64(1); revision < 4; revision++ {
			in := make([]catalog.Item, rapid.IntRange(0, 20).Draw(t, "items"))
			for i := range in {
				in[i] = catalog.Item{Key: fmt.Sprint(i), Revision: revision, Value: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "value")}
			}
			for range 2 {
				packed, err := p.packAll(in, revision)
				g.Expect(err).NotTo(HaveOccurred())
				out, err := unpackAll(&wire.StateAnswer{PackedItems: packed})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(out).To(HaveLen(len(in)))
				for i := range in {
					g.Expect(out[i]).To(Equal(in[i]))
				}
			}
		}
	})
}

// 190 nodes that start at once ask three others for everything; at 60 KB each that
// took seconds on links of 20 Mbit/s.
func TestTheRecordsOfAFleetAreSentInAFewKilobytes(t *testing.T) {
	g := NewWithT(t)
	items := make([]catalog.Item, 194)
	for i := range items {
		items[i] = catalog.Item{Key: fmt.Sprintf("servers/i-%08x", uint32(i)*2654435761), Revision: uint64(i), Value: fmt.Appendf(nil,
			`{"address":"10.1.%d.%d:8301","born":17960%08d,"info":{"service":"huvo%d","zone":"zone-%d","version":"1","slots":7},"status":{"state":"ready","seq":%d,"cold_remaining":"0ms"}}`,
			i/250, i%250, i*7919, i%3, i%6, i)}
	}
	packed, err := newPacker().packAll(items, 1)
	g.Expect(err).NotTo(HaveOccurred())
	// 64 of them over 20 Mbit/s within half a second.
	g.Expect(len(packed)).To(BeNumerically("<", 20_000_000/8/2/64))
}

func TestAStateThatUnpacksWithoutEndIsRefused(t *testing.T) {
	g := NewWithT(t)
	packed, err := compress(make([]byte, maxUnpackedState+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = unpackAll(&wire.StateAnswer{PackedItems: packed})
	g.Expect(err).To(MatchError(errUnpackedLong))
	packed, err = compress(make([]byte, maxUnpacked+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = unpack(&wire.StateItem{Packed: true, Value: packed})
	g.Expect(err).To(MatchError(errUnpackedLong))
}
