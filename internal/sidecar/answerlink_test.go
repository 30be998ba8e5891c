package sidecar

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

// Guards against concurrent large answers delaying small ones: with archives of 90 KB
// from hosts with 16 Mbit/s, ten a second fill half of the link, and when sent at once
// they delayed lookups of the same host.
func TestLargeAnswersAreSentOneAtATime(t *testing.T) {
	g := NewWithT(t)
	const size, mbps = 90_000, 16
	pacer := &answerPacer{rate: int64(linkShare * mbps * 1e6 / bitsPerByte)}
	now := time.Unix(1000, 0)
	for position := range 5 {
		g.Expect(pacer.reserve(size, now)).To(BeNumerically("~", time.Duration(position)*pacer.transferTime(size), time.Millisecond))
	}
	g.Expect(pacer.queueDelay(now)).To(BeNumerically("~", 5*pacer.transferTime(size), time.Millisecond))
	g.Expect(pacer.reserve(size, now.Add(time.Minute))).To(BeZero())
}

func TestPacedAnswerEndsWhenItsCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		body := &pacedBody{ReadCloser: io.NopCloser(strings.NewReader("archive")), ctx: ctx, delay: time.Minute}
		const cancelAfter = time.Second
		time.AfterFunc(cancelAfter, cancel)
		started := time.Now()
		_, err := io.ReadAll(body)
		g.Expect(err).To(MatchError(context.Canceled))
		g.Expect(time.Since(started)).To(Equal(cancelAfter))
	})
}

// A request whose answer would be sent too late is refused before it takes a server
// slot.
func TestRequestIsRefusedWhenItsAnswerWouldMissTheDeadline(t *testing.T) {
	g := NewWithT(t)
	hop := newTestHop(t, newTestView(1))
	r := requestTo("10.0.0.2", strings.NewReader(""), 0)
	r.Objective, r.Deadline = time.Now().Add(400*time.Millisecond), time.Now().Add(600*time.Millisecond)
	hop.answerSizes.observe(r.Route, 90_000)
	hop.answerPacer.reserve(3_000_000, time.Now()) // more than a second at 27 Mbit/s
	_, err := hop.Run(context.Background(), r)
	g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.FromError(err).Reason).To(Equal(verdict.ReasonOverloaded))
	g.Expect(hop.answerSizes.estimate(r.Route)).To(BeNumerically(">=", contract.LargeAnswerBytes))
}
