package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
)

func stated(perSecond float64) contract.RateLimit {
	return contract.RateLimit{Stated: true, PerSecond: perSecond}
}

// Guards against a limit that ends because an answer from before it arrives late.
func TestLateAnswerNeitherEndsNorRaisesALimit(t *testing.T) {
	g := NewWithT(t)
	base := time.Now()
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	limits := &limitTracker{}
	g.Expect(limits.observe(stated(5), at(0), at(100))).To(BeTrue())
	g.Expect(limits.observe(contract.RateLimit{}, at(50), at(110))).To(BeFalse())
	g.Expect(limits.observe(stated(9), at(50), at(120))).To(BeFalse())
	g.Expect(limits.observe(stated(3), at(50), at(130))).To(BeTrue())
	g.Expect(limits.observe(stated(8), at(140), at(150))).To(BeTrue())
	g.Expect(limits.observe(contract.RateLimit{}, at(160), at(170))).To(BeTrue())
	g.Expect(limits.current.Stated).To(BeFalse())
}

// Guards against a health answer that ends the limit of a server which states its limit
// only in answers to requests.
func TestHealthAnswerEndsOnlyALimitThatHealthAnswersState(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	limits := &limitTracker{}
	g.Expect(limits.observe(stated(5), now, now)).To(BeTrue())
	g.Expect(limits.observeHealth(contract.RateLimit{}, now)).To(BeFalse())
	g.Expect(limits.observeHealth(stated(4), now)).To(BeTrue())
	g.Expect(limits.observeHealth(contract.RateLimit{}, now)).To(BeTrue())
}

// Guards against a stale limit of an entry that replaces what the server itself states.
func TestLimitOfAnEntryCountsOnlyBeforeTheFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	limits := &limitTracker{}
	g.Expect(limits.adopt(stated(5), now)).To(BeTrue())
	g.Expect(limits.adopt(stated(9), now)).To(BeFalse())
	g.Expect(limits.observe(contract.RateLimit{}, now, now)).To(BeTrue())
	g.Expect(limits.adopt(stated(5), now)).To(BeFalse())
}
