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

func TestItemsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p := newStateEncoder()
		for revision := range uint64(3) {
			in := catalog.Item{
				Key: "k", Version: catalog.Version{Revision: revision + 1}, Deleted: rapid.Bool().Draw(t, "deleted"),
				Value: bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "value"), rapid.IntRange(1, 100).Draw(t, "times")),
			}
			for range 2 {
				message, err := p.encodeItem(in)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(decodeItem(message)).To(Equal(in))
			}
		}
	})
}

// Guards against overloading relays: those with links of 10 Mbit/s could not serve
// their followers when a configuration of 100 KB was sent uncompressed.
func TestConfigurationIsCompressedToATenth(t *testing.T) {
	g := NewWithT(t)
	route := []byte(`{"name":"r-89anu6w","host":"hulo84.example","prefix":"/xapu221/ny95/","route_type":"safe","timeout":"1500ms"},`)
	message, err := newStateEncoder().encodeItem(catalog.Item{Key: "k", Value: bytes.Repeat(route, 500)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(message.GetValue())).To(BeNumerically("<", len(route)*500/10))
}

func TestTruncatedCompressedValueIsAnError(t *testing.T) {
	g := NewWithT(t)
	message, err := newStateEncoder().encodeItem(catalog.Item{Key: "k", Value: make([]byte, minCompressBytes)})
	g.Expect(err).NotTo(HaveOccurred())
	message.Value = message.Value[:len(message.Value)/2]
	_, err = decodeItem(message)
	g.Expect(err).To(HaveOccurred())
}

func TestStateRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p := newStateEncoder()
		for revision := uint64(1); revision < 4; revision++ {
			in := make([]catalog.Item, rapid.IntRange(0, 20).Draw(t, "items"))
			for i := range in {
				in[i] = catalog.Item{Key: fmt.Sprint(i), Version: catalog.Version{Revision: revision}, Value: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "value")}
			}
			for range 2 {
				compressed, err := p.encodeState(in, catalog.Version{Revision: revision})
				g.Expect(err).NotTo(HaveOccurred())
				out, err := decodeState(&wire.StateAnswer{PackedItems: compressed})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(out).To(HaveLen(len(in)))
				for i := range in {
					g.Expect(out[i]).To(Equal(in[i]))
				}
			}
		}
	})
}

// 190 nodes that start at once request the full state from three others; at 60 KB each
// that took seconds on links of 20 Mbit/s.
func TestFleetRecordsAreCompressedToAFewKilobytes(t *testing.T) {
	g := NewWithT(t)
	items := make([]catalog.Item, 194)
	for i := range items {
		items[i] = catalog.Item{Key: fmt.Sprintf("servers/i-%08x", uint32(i)*2654435761), Version: catalog.Version{Revision: uint64(i)}, Value: fmt.Appendf(nil,
			`{"address":"10.1.%d.%d:8301","born":17960%08d,"info":{"service":"huvo%d","zone":"zone-%d","version":"1","slots":7},"status":{"state":"ready","seq":%d,"cold_remaining":"0ms"}}`,
			i/250, i%250, i*7919, i%3, i%6, i)}
	}
	compressed, err := newStateEncoder().encodeState(items, catalog.Version{Revision: 1})
	g.Expect(err).NotTo(HaveOccurred())
	// 64 answers must fit through 20 Mbit/s within half a second.
	g.Expect(len(compressed)).To(BeNumerically("<", 20_000_000/8/2/64))
}

func TestOversizedDecompressedDataIsRefused(t *testing.T) {
	g := NewWithT(t)
	compressed, err := compress(make([]byte, maxDecompressedState+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decodeState(&wire.StateAnswer{PackedItems: compressed})
	g.Expect(err).To(MatchError(errDecompressedTooLong))
	compressed, err = compress(make([]byte, maxDecompressedValue+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decodeItem(&wire.StateItem{Packed: true, Value: compressed})
	g.Expect(err).To(MatchError(errDecompressedTooLong))
}
