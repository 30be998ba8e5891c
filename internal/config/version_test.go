package config_test

import (
	"cmp"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/config"
)

func TestVersionsAreOrderedByEpochThenRevision(t *testing.T) {
	anyVersion := rapid.Custom(func(t *rapid.T) config.Version {
		number := rapid.OneOf(rapid.Uint64Range(0, 2), rapid.Uint64())
		return config.Version{Epoch: number.Draw(t, "epoch"), Revision: number.Draw(t, "revision")}
	})
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		v, w := anyVersion.Draw(t, "v"), anyVersion.Draw(t, "w")
		g.Expect(v.Compare(w)).To(Equal(cmp.Or(cmp.Compare(v.Epoch, w.Epoch), cmp.Compare(v.Revision, w.Revision))))
		g.Expect(v.Less(w)).To(Equal(v.Compare(w) < 0))
		g.Expect(v.Compare(w)).To(Equal(-w.Compare(v)))
		g.Expect(config.ParseVersion(v.String())).To(Equal(v))
		g.Expect(v.IsZero()).To(Equal(!config.Version{}.Less(v)))
	})
}

func TestParseVersionRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"", "1", "1.", ".1", "1.2.3", "-1.2", "1.+2", "1.x", "18446744073709551616.0"} {
		_, err := config.ParseVersion(text)
		NewWithT(t).Expect(err).To(MatchError(config.ErrBadVersion), text)
	}
}
