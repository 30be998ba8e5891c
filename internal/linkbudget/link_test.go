package linkbudget

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	testAnswerBytes = 90_000
	testMbps        = 20
	bitsPerByte     = 8
)

func newTestLink(backlog func() int64) *Link { return NewLink(testMbps*1e6/bitsPerByte, backlog) }

// answerDue is an answer of the test size that is due in a given time.
func answerDue(in time.Duration) Request {
	return Request{Bytes: testAnswerBytes, Due: time.Now().Add(in), Latest: time.Now().Add(in), Deadline: time.Now().Add(in + time.Minute)}
}

// send starts to read an answer and returns a channel that receives when it has ended.
func (l *Link) send(ctx context.Context, r Request) <-chan error {
	ended := make(chan error, 1)
	body := l.Send(ctx, nil, io.NopCloser(strings.NewReader(strings.Repeat("x", int(r.Bytes)))), r)
	go func() {
		_, err := io.Copy(io.Discard, struct{ io.Reader }{body})
		ended <- err
	}()
	return ended
}

// Guards against concurrent large answers delaying small ones: with archives of 90 KB
// from hosts with 16 Mbit/s, ten a second fill half of the link, and when sent at once
// they delayed lookups of the same host.
func TestLargeAnswersAreSentOneAtATimeInTheOrderOfTheirDueTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newTestLink(nil)
		transfer := l.TransferTime(testAnswerBytes)
		started := time.Now()
		answers := make([]<-chan error, 5)
		for i := range answers {
			answers[i] = l.send(t.Context(), answerDue(time.Minute-time.Duration(i)*time.Second))
		}
		for position := range answers {
			g.Expect(<-answers[len(answers)-1-position]).To(Succeed())
			// The last part of an answer is granted before it has been sent, the first answer
			// got one part before the others were known.
			g.Expect(time.Since(started)).To(BeNumerically("~", time.Duration(position+1)*transfer, 2*l.TransferTime(maxPartBytes)+sendBurst))
		}
		g.Expect(l.Status().Reserved).To(BeZero())
		g.Expect(l.Status().Sent).To(BeEquivalentTo(len(answers) * testAnswerBytes))
		time.Sleep(time.Minute)
		g.Expect(l.Status().Delay).To(BeZero())
	})
}

func TestPacedAnswerEndsWhenItsCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newTestLink(nil)
		const cancelAfter = time.Second
		long := answerDue(time.Second)
		long.Bytes *= 100
		l.send(t.Context(), long)
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(cancelAfter, cancel)
		started := time.Now()
		later := answerDue(time.Hour)
		g.Expect(<-l.send(ctx, later)).To(MatchError(context.Canceled))
		g.Expect(time.Since(started)).To(Equal(cancelAfter))
		g.Expect(l.Status().Reserved).To(BeNumerically("<", long.Bytes), "only the first is left")
		time.Sleep(time.Minute)
	})
}

// A caller that stops reading must not hold the link for others.
func TestAnswerThatIsNotReadHoldsNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := newTestLink(nil)
		stalled := l.Send(t.Context(), nil, io.NopCloser(strings.NewReader(strings.Repeat("x", testAnswerBytes))), answerDue(time.Second))
		_, err := stalled.Read(make([]byte, 1000))
		g.Expect(err).NotTo(HaveOccurred())
		started := time.Now()
		g.Expect(<-l.send(t.Context(), answerDue(2*time.Second))).To(Succeed())
		g.Expect(time.Since(started)).To(BeNumerically("<=", l.TransferTime(testAnswerBytes+maxPartBytes)))
		time.Sleep(2 * stallTime)
		g.Expect(l.Status().Reserved).To(BeZero())
		g.Expect(l.Status().Delay).To(BeZero())
		rest, err := io.ReadAll(stalled)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rest).To(HaveLen(testAnswerBytes - 1000))
	})
}

// fakeBuffer is a send buffer that empties at a rate, in bytes per second.
type fakeBuffer struct {
	rate    float64
	queued  float64
	settled time.Time
	// unread is the part that its receivers don't read.
	unread int64
}

func (b *fakeBuffer) backlog(now time.Time) int64 {
	b.queued = max(b.queued-b.rate*now.Sub(b.settled).Seconds(), 0)
	b.settled = now
	return int64(b.queued) + b.unread
}

// run sends as much as the meter permits for a time and returns the meter's rate after it.
func (b *fakeBuffer) run(m *RateMeter, sent *int64, now *time.Time, length time.Duration) float64 {
	for end := now.Add(length); now.Before(end); *now = now.Add(sampleInterval) {
		m.Sample(*sent, b.backlog(*now), *now)
		if !m.Blocked() {
			n := int64(m.Rate(*now) * sampleInterval.Seconds())
			*sent += n
			b.queued += float64(n)
		}
	}
	return m.Rate(*now)
}

// The link's rate drops to a fifth at once, and returns. Then it is idle, which shows
// nothing. At last some receivers read nothing, which must not hold up the others.
func TestRateIsMeasured(t *testing.T) {
	g := NewWithT(t)
	const configured = testMbps * 1e6 / bitsPerByte
	m, now, sent := NewRateMeter(configured), time.Unix(1000, 0), int64(0)
	buffer := &fakeBuffer{rate: configured, settled: now}
	g.Expect(buffer.run(m, &sent, &now, time.Second)).To(BeNumerically("~", usableShare*configured, 1))
	buffer.rate = configured / 5
	buffer.run(m, &sent, &now, 300*time.Millisecond)
	for range 20 {
		g.Expect(buffer.run(m, &sent, &now, 100*time.Millisecond)).To(BeNumerically("~", buffer.rate, 0.4*buffer.rate))
	}
	buffer.rate = configured
	g.Expect(buffer.run(m, &sent, &now, time.Second)).To(BeNumerically("~", usableShare*configured, 1))
	now = now.Add(time.Hour)
	g.Expect(m.Rate(now)).To(BeNumerically("~", usableShare*configured, 1))
	buffer.run(m, &sent, &now, sampleInterval)
	buffer.unread = 200_000
	sent += buffer.unread
	before := sent
	buffer.run(m, &sent, &now, time.Second)
	g.Expect(m.Rate(now)).To(BeNumerically("~", usableShare*configured, 1))
	g.Expect(sent-before).To(BeNumerically(">", 0.8*configured), "others were held up for a moment only")
}

func TestSmallAnswersHaveTheirShareOfTheLink(t *testing.T) {
	g := NewWithT(t)
	m, now := NewRateMeter(1e6), time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		m.RecordSmall(1000, now)
	}
	g.Expect(m.Rate(now)).To(BeNumerically("~", (usableShare-0.1)*1e6, 0.01*1e6))
}

// Guards against a wide link that is taken for busy: at a rate of 1,000 Mbit/s some 100 KB
// are always on their way, whatever the load.
func TestWideLinkIsNotMeasuredByItsLoad(t *testing.T) {
	g := NewWithT(t)
	const configured, load, onTheWay = 125e6, 10e6, 125_000
	m, now, sent := NewRateMeter(configured), time.Unix(1000, 0), int64(0)
	for range 100 {
		now = now.Add(sampleInterval)
		sent += int64(load * sampleInterval.Seconds())
		m.Sample(sent, onTheWay, now)
	}
	g.Expect(m.Rate(now)).To(BeNumerically("~", usableShare*configured, 1))
	g.Expect(m.Blocked()).To(BeFalse())
}

// Runs with a tail need a longer reserve, within its bounds; a single long run changes
// little.
func TestReserveFollowsTheSpreadOfRunTimes(t *testing.T) {
	g := NewWithT(t)
	const objective = 600 * time.Millisecond
	s := NewSpreads()
	g.Expect(s.Reserve("download", objective)).To(BeNumerically("~", objective/3, time.Microsecond))
	for range 300 {
		s.Observe("download", 110*time.Millisecond)
	}
	g.Expect(s.Reserve("download", objective)).To(BeNumerically("~", objective/5, time.Microsecond))
	s.Observe("download", 770*time.Millisecond)
	g.Expect(s.Reserve("download", objective)).To(BeNumerically("<", objective/4))
	g.Expect(s.Reserve("download", -objective)).To(BeZero())
}

// Guards against an estimate that collapses because receivers are slow: deliveries are late,
// but the link is idle most of the time, so they show nothing of its rate. On a busy link
// they do.
func TestDeliveriesMeasureABusyLinkOnly(t *testing.T) {
	g := NewWithT(t)
	const configured, half = 2.5e6, 1.25e6
	for _, busy := range []bool{false, true} {
		m, now, mark := NewRateMeter(configured), time.Unix(1000, 0), int64(0)
		m.deliveries.record(mark, time.Millisecond, now)
		for range 60 {
			now = now.Add(time.Duration(testAnswerBytes / half * float64(time.Second)))
			mark += testAnswerBytes
			m.deliveries.record(mark, 60*time.Millisecond, now)
			if !busy {
				now = now.Add(time.Second)
				m.deliveries.recordIdle(time.Second)
			}
		}
		if busy {
			g.Expect(m.Rate(now)).To(BeNumerically("~", drainShare*half, 0.1*half))
		} else {
			g.Expect(m.Rate(now)).To(BeNumerically("~", usableShare*configured, 1))
		}
	}
}

// Guards against all answers waiting for a log line: the change is reported without the lock.
func TestSlowLinkIsReportedWithoutItsLock(t *testing.T) {
	g := NewWithT(t)
	l := newTestLink(nil)
	reports := 0
	l.OnSlow(func(slow bool, rate, bound int64) {
		g.Expect(slow).To(BeTrue())
		g.Expect(rate).To(BeNumerically("<", bound/2))
		g.Expect(l.mu.TryLock()).To(BeTrue())
		l.mu.Unlock()
		reports++
	})
	l.meter.sampledAt, l.meter.measured = time.Now(), l.meter.bound/10
	l.Status()
	l.Status()
	g.Expect(reports).To(Equal(1))
}
