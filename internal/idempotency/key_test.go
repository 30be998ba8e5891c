package idempotency_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/idempotency"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

// keyAt returns a UUIDv7 of a time.
func keyAt(at time.Time) string {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := 5; i >= 0; i-- {
		id[i] = byte(millis)
		millis >>= 8
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

var _ = Describe("Parse", func() {
	now := time.UnixMilli(1_700_000_000_123)

	DescribeTable("reads the time of a UUIDv7",
		func(text string) {
			key, err := idempotency.Parse(text, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(key.Time.Equal(now)).To(BeTrue())
			Expect(key.Value).To(Equal(keyAt(now)))
		},
		Entry("plain", keyAt(now)),
		Entry("in capitals", strings.ToUpper(keyAt(now))),
	)

	DescribeTable("takes other printable strings as untimed",
		func(text string) {
			key, err := idempotency.Parse(text, now)
			Expect(err).NotTo(HaveOccurred())
			Expect(key.Timed()).To(BeFalse())
		},
		Entry("UUIDv4", uuid.NewString()),
		Entry("one character", "x"),
		Entry("the longest", strings.Repeat("k", idempotency.MaxLength)),
	)

	DescribeTable("refuses what is no key",
		func(text string) {
			_, err := idempotency.Parse(text, now)
			Expect(err).To(MatchError(idempotency.ErrInvalidKey))
		},
		Entry("empty", ""),
		Entry("too long", strings.Repeat("k", idempotency.MaxLength+1)),
		Entry("a space", "a b"),
		Entry("not ASCII", "\u00e5"),
	)

	DescribeTable("refuses a time that no gate's clock has reached",
		func(ahead time.Duration, want bool) {
			key, err := idempotency.Parse(keyAt(now.Add(ahead)), now)
			Expect(err != nil).To(Equal(want))
			Expect(key.Ahead(now)).To(Equal(ahead - idempotency.ClockBound))
		},
		Entry("at the bounds", 2*idempotency.ClockBound, false),
		Entry("over them", 2*idempotency.ClockBound+time.Millisecond, true),
	)

	It("keeps the keys of two callers apart", func() {
		a, b := idempotency.Key{Value: "bc"}, idempotency.Key{Value: "c"}
		Expect(idempotency.ScopedKey("a", a)).NotTo(Equal(idempotency.ScopedKey("ab", b)))
	})

	It("gives equal requests one digest and others another", func() {
		first := idempotency.DigestKey("a", "POST", "/x", []byte("y"))
		Expect(idempotency.DigestKey("a", "POST", "/x", []byte("y"))).To(Equal(first))
		Expect(idempotency.DigestKey("a", "POST", "/xy", nil)).NotTo(Equal(first))
	})
})
