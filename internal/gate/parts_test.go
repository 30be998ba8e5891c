package gate

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

var _ = Describe("quarantine", func() {
	var (
		q   *quarantine
		now time.Time
	)
	BeforeEach(func() {
		q = newQuarantine(Config{QuarantineSize: 2, CompletedSize: 2, QuarantineFor: time.Minute, AbandonedTTL: time.Second})
		now = time.Unix(1000, 0)
	})

	It("quarantines after two crashes and ends the quarantine after its time", func() {
		Expect(q.recordCrash(7, now)).To(BeFalse())
		Expect(q.isSuspect(7, now)).To(BeTrue())
		Expect(q.recordCrash(7, now)).To(BeTrue())
		Expect(q.localFingerprints(now)).To(ConsistOf(uint64(7)))
		Expect(q.quarantinedFor(7, now.Add(time.Second))).To(Equal(59 * time.Second))
		now = now.Add(time.Minute)
		Expect(q.quarantinedFor(7, now)).To(BeZero())
		Expect(q.recordCrash(7, now)).To(BeTrue(), "one more crash quarantines the request again")
	})

	It("clears a suspect that completed", func() {
		q.recordCrash(7, now)
		q.recordCompletion(7, now)
		Expect(q.recordCrash(7, now)).To(BeFalse())
	})

	It("exempts a request from one crash after each completion", func() {
		for range 5 {
			q.recordCompletion(7, now)
			Expect(q.recordCrash(7, now)).To(BeFalse())
			Expect(q.isSuspect(7, now)).To(BeFalse())
		}
		Expect(q.recordCrash(7, now)).To(BeFalse())
		Expect(q.recordCrash(7, now)).To(BeTrue())
	})

	It("isolates a request that completed here and is quarantined elsewhere", func() {
		q.recordCompletion(7, now)
		Expect(q.recordReported(7, 2, now)).To(BeFalse())
		q.recordRemote(7, now)
		Expect(q.quarantinedFor(7, now)).To(BeZero())
		Expect(q.isSuspect(7, now)).To(BeTrue())
		Expect(q.recordCrash(7, now)).To(BeTrue())
	})

	It("does not extend a quarantine that is reported again", func() {
		q.recordRemote(7, now)
		q.recordRemote(7, now.Add(50*time.Second))
		Expect(q.quarantinedFor(7, now.Add(59*time.Second))).To(Equal(time.Second))
		Expect(q.localFingerprints(now)).To(BeEmpty())
	})

	It("stays within its size and ignores fingerprint 0", func() {
		for fp := range uint64(10) {
			q.recordCrash(fp, now)
			q.recordRemote(100+fp, now)
		}
		Expect(q.suspectFingerprints(now)).To(ConsistOf(uint64(8), uint64(9)))
		Expect(q.quarantined.Len()).To(Equal(2))
		q.recordCrash(0, now)
		Expect(q.isSuspect(0, now)).To(BeFalse())
		for fp := range uint64(10) {
			q.recordCompletion(fp, now)
		}
		Expect(q.completed.Len()).To(Equal(2))
	})
})

var _ = Describe("queue", func() {
	push := func(q *queue, acc *account, p config.Priority) *waiter {
		w := &waiter{account: acc, rank: rankOf(p)}
		q.push(w)
		return w
	}
	anyCaller := func(*account) bool { return true }

	It("starts the caller with the least used time per weight first, and lets each rank make up for a bounded difference", func() {
		q := &queue{}
		crew, boat := &account{weight: 1, usedTime: 1}, &account{weight: 1, usedTime: 2}
		low := push(q, crew, config.PriorityLow)
		normal := push(q, crew, "")
		urgent := push(q, boat, config.PriorityHigh)
		Expect(q.ahead(crew, rankNormal)).To(Equal(2))
		Expect(q.pop(0, 0.5, anyCaller)).To(Equal(normal), "boat has used more time than crew by more than its rank makes up for")
		crew.usedTime = 1.5
		Expect(q.pop(0, 0.5, anyCaller)).To(Equal(urgent))
		Expect(q.pop(0, 0.5, func(*account) bool { return false })).To(BeNil())
		Expect(q.pop(0, 0.5, anyCaller)).To(Equal(low))
		Expect(q.total + len(q.callers)).To(BeZero())
	})

	It("evicts the last waiting request of the caller with the most used time once its running and queued requests are counted", func() {
		q := &queue{}
		crew := &account{weight: 1, usedTime: 10}
		boat := &account{weight: 1, running: 2}
		heavy := &account{weight: 10, usedTime: 5}
		push(q, crew, "")
		last := push(q, boat, config.PriorityLow)
		push(q, boat, "")
		for range 5 {
			push(q, heavy, "")
		}
		Expect(q.evict(0, 1).account).To(BeIdenticalTo(crew))
		Expect(q.evict(20, 1)).To(Equal(last))
	})
})

var _ = Describe("accounts", func() {
	It("gives a new caller the virtual time as its used time, and halves the excess of a caller over it once per half-life", func() {
		start := time.Unix(1000, 0)
		a := newAccounts(2, time.Second, start)
		boat := a.getOrCreate("boat", 2, start)
		p := &Permit{started: start, charged: 4}
		a.charge(boat, p, boat.usedTime)
		a.reconcile(boat, p, start.Add(8*time.Second))
		Expect(boat.usedTime).To(Equal(4.0), "8 s of used time at weight 2")
		a.virtualTime = 1
		Expect(a.getOrCreate("crew", 1, start).usedTime).To(Equal(1.0))
		Expect(a.getOrCreate("boat", 2, start.Add(time.Second)).usedTime).To(Equal(2.5))
		Expect(a.otherCallerSince(boat, start.Add(-time.Second))).To(BeTrue())
		Expect(a.otherCallerSince(boat, start)).To(BeFalse())
	})
})

var _ = Describe("settings", func() {
	It("sets the defaults, and bounds the slots by the connections and the cold limit by the slots", func() {
		s := Config{Service: config.Service{Slots: 8, Connections: 4, ColdLimit: 9}}.withDefaults().Service
		Expect(s).To(Equal(config.Service{Slots: 4, Connections: 4, ColdLimit: 4, QueueLimit: 8, WarmAfter: 80}))
	})

	It("keeps the distance of a cold server's limit from the cold limit when the settings change, and lowers the limit to the slots", func() {
		l := newLimiter(testConfig().withDefaults())
		l.limit = 5
		s := l.cfg.Service
		s.ColdLimit = 1
		l.setService(s)
		Expect(l.limit).To(Equal(4))
		s.Slots = 3
		l.setService(s)
		Expect(l.limit).To(Equal(3))
	})

	It("packs a load into one word", func() {
		var p packedLoad
		want := Load{Running: 3, Queued: 70000, Limit: 10, State: host.StateWarm}
		p.store(want)
		Expect(p.load()).To(Equal(want))
	})
})
