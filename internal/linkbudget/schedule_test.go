package linkbudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const testRate = 2.5e6

// transferOf is the time that an answer takes on the test link.
func transferOf(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / testRate * float64(time.Second))
}

// Whatever is admitted, canceled or of another size: capacity is never promised twice, so
// every admitted response that has its expected size is sent by its due time, and all
// capacity is free at the end.
func TestAdmittedResponsesAreOnTimeAndEverythingIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s, now := &Schedule{rate: testRate}, time.Unix(1000, 0)
		admitted := map[*Reservation]Request{}
		send := func(until time.Time) {
			for now.Before(until) {
				if !s.Waiting() {
					now = until
					break
				}
				r, _, again := s.Next(now)
				if r == nil {
					now = again
					continue
				}
				if r.remaining > 0 {
					s.Wait(r)
					continue
				}
				s.Release(r)
				// Each part of another response that was already on its way, and a late timer.
				g.Expect(s.freeAt).NotTo(BeTemporally(">", admitted[r].Due.Add(sendBurst+transferOf(maxPartBytes))))
				delete(admitted, r)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			request := Request{Bytes: rapid.Int64Range(16<<10, 540_000).Draw(t, "bytes"), Due: now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "due")) * time.Millisecond)}
			request.Latest = request.Due
			request.Deadline = request.Due.Add(-time.Nanosecond) // no response is admitted that is late on an idle link
			r, wait := s.Reserve(request, now)
			switch {
			case r == nil:
				g.Expect(wait).To(BeNumerically(">", 0))
			case rapid.IntRange(0, 9).Draw(t, "end") == 0:
				s.Release(r) // canceled, failed or refused by the server
			default:
				admitted[r] = request
				s.Adjust(r, rapid.Int64Range(1, request.Bytes).Draw(t, "actual"), now)
				s.Wait(r)
			}
			send(now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond))
		}
		send(now.Add(time.Minute))
		g.Expect(admitted).To(BeEmpty())
		g.Expect(s.reservations).To(BeEmpty())
		g.Expect(s.Room(now)).To(BeZero())
	})
}

// A response that is refused is told when there is capacity: a request like it is then
// admitted.
func TestRefusalStatesWhenThereIsCapacity(t *testing.T) {
	g := NewWithT(t)
	s, now := &Schedule{rate: testRate}, time.Unix(1000, 0)
	request := func(at time.Time) Request {
		return Request{Bytes: 90_000, ReadyIn: 100 * time.Millisecond, Due: at.Add(400 * time.Millisecond), Latest: at.Add(400 * time.Millisecond), Deadline: at.Add(time.Second)}
	}
	count := 0
	for ; ; count++ {
		r, wait := s.Reserve(request(now), now)
		if r == nil {
			for range 3 { // three others are sent in the meantime
				s.Release(s.reservations[0])
			}
			g.Expect(wait).To(BeNumerically("<", 3*transferOf(90_000)))
			_, wait = s.Reserve(request(now.Add(wait)), now.Add(wait))
			g.Expect(wait).To(BeZero())
			break
		}
		s.Adjust(r, 90_000, now)
		s.Wait(r)
	}
	g.Expect(count).To(Equal(int(400 * time.Millisecond / transferOf(90_000))))
	g.Expect(s.Room(now)).To(BeNumerically("~", time.Duration(count-2)*transferOf(90_000), time.Millisecond))
}

// A response that can't be on time is served only while no other one needs the capacity, a
// hedged request likewise, and a call of a run with earlier work always.
func TestLateResponsesAreServedFromSpareCapacity(t *testing.T) {
	g := NewWithT(t)
	s, now := &Schedule{rate: testRate}, time.Unix(1000, 0)
	late := Request{Bytes: 90_000, Due: now, Latest: now, Deadline: now.Add(time.Second)}
	hedge := Request{Bytes: 90_000, Due: now.Add(time.Second), Latest: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Spare: true}
	r, _ := s.Reserve(late, now)
	g.Expect(r).NotTo(BeNil())
	big := Request{Bytes: 1_500_000, Due: now.Add(time.Second), Latest: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
	_, _ = s.Reserve(big, now)
	_, wait := s.Reserve(big, now)
	g.Expect(wait).To(BeNumerically(">", 0))
	for _, refused := range []Request{late, hedge} {
		r, _ = s.Reserve(refused, now)
		g.Expect(r).To(BeNil())
	}
	late.MustRun = true
	r, _ = s.Reserve(late, now)
	g.Expect(r).NotTo(BeNil())
}
