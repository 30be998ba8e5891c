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

// Archives of 90 KB from hosts with 16 Mbit/s: ten a second fill half of the link, and
// all at once they kept lookups of the same host waiting.
func TestLargeAnswersLeaveAHostOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	const size, mbps = 90_000, 16
	link := &answerLink{rate: int64(linkShare * mbps * 1e6 / bitsPerByte)}
	now := time.Unix(1000, 0)
	for place := range 5 {
		g.Expect(link.reserve(size, now)).To(BeNumerically("~", time.Duration(place)*link.timeOf(size), time.Millisecond))
	}
	g.Expect(link.wait(now)).To(BeNumerically("~", 5*link.timeOf(size), time.Millisecond))
	g.Expect(link.reserve(size, now.Add(time.Minute))).To(BeZero())
}

func TestAnAnswerThatWaitsForTheLinkEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		body := &queuedBody{ReadCloser: io.NopCloser(strings.NewReader("archive")), ctx: ctx, wait: time.Minute}
		const leaves = time.Second
		time.AfterFunc(leaves, cancel)
		started := time.Now()
		_, err := io.ReadAll(body)
		g.Expect(err).To(MatchError(context.Canceled))
		g.Expect(time.Since(started)).To(Equal(leaves))
	})
}

// What would leave too late is refused before it takes one of the server's slots.
func TestARequestWhoseAnswerWouldLeaveTooLateIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	hop := hopOf(t, viewOf(1))
	r := requestTo("10.0.0.2", strings.NewReader(""), 0)
	r.Objective, r.Deadline = time.Now().Add(400*time.Millisecond), time.Now().Add(600*time.Millisecond)
	hop.sizes.add(r.Route, 90_000)
	hop.answers.reserve(3_000_000, time.Now()) // more than a second at 27 Mbit/s
	_, err := hop.Run(context.Background(), r)
	g.Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonOverloaded))
	g.Expect(hop.sizes.of(r.Route)).To(BeNumerically(">=", contract.LargeAnswer))
}
