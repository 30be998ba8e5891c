package sidecar

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

const (
	narrowMbps = 27.0
	videoBytes = 280_000
)

// narrowLink carries parts of bodies one after the other. It is a channel, not a
// mutex, since time stands still in a test while a goroutine waits for a mutex.
type narrowLink chan struct{}

const linkPart = 32 << 10

func (l narrowLink) carry(bytes int) {
	l <- struct{}{}
	time.Sleep(time.Duration(float64(bytes) * 8 / (narrowMbps * 1e6) * float64(time.Second)))
	<-l
}

// videoOver is a body that comes over a link.
type videoOver struct {
	link narrowLink
	left int
}

func (v *videoOver) Read(p []byte) (int, error) {
	if v.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), v.left, linkPart)
	v.link.carry(n)
	v.left -= n
	return n, nil
}

func videoOf(body io.Reader) *contract.Request {
	return &contract.Request{Body: body, ContentLength: videoBytes}
}

// Uploads to a host with a narrow link. Four bodies at once each take four times
// as long, and a lookup to the same host waits behind a part of each.
func TestUploadsOverANarrowLinkArriveOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		intake, link := newBodyIntake(narrowMbps, 1024), make(narrowLink, 1)
		started := time.Now()
		var mu sync.Mutex
		var took []time.Duration
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				release, err := intake.take(t.Context(), videoOf(&videoOver{link: link, left: videoBytes}))
				g.Expect(err).NotTo(HaveOccurred())
				release()
				mu.Lock()
				took = append(took, time.Since(started))
				mu.Unlock()
			})
		}
		time.Sleep(10 * time.Millisecond)
		asked := time.Now()
		link.carry(1000)
		g.Expect(time.Since(asked)).To(BeNumerically("<", 25*time.Millisecond), "a lookup waits for two parts at most")
		all.Wait()
		const alone = 84 * time.Millisecond
		g.Expect(took[0]).To(BeNumerically("<", 3*alone/2))
		g.Expect(took[3]).To(BeNumerically("<", 9*alone/2))
		g.Expect(intake.wait()).To(BeZero())
	})
}

func TestABodyThatStallsKeepsOthersBackForItsShareOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		intake, link := newBodyIntake(narrowMbps, 1024), make(narrowLink, 1)
		stalled, never := io.Pipe()
		var all sync.WaitGroup
		all.Go(func() {
			_, err := intake.take(t.Context(), videoOf(stalled))
			g.Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		})
		synctest.Wait()
		started := time.Now()
		release, err := intake.take(t.Context(), videoOf(&videoOver{link: link, left: videoBytes}))
		g.Expect(err).NotTo(HaveOccurred())
		release()
		g.Expect(time.Since(started)).To(BeNumerically("<", 250*time.Millisecond))
		g.Expect(never.Close()).To(Succeed())
		all.Wait()
	})
}

func TestABodyWhoseCallerLeavesGivesItsTurnUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		intake, link := newBodyIntake(narrowMbps, 1024), make(narrowLink, 1)
		stalled, never := io.Pipe()
		var all sync.WaitGroup
		all.Go(func() { _, _ = intake.take(t.Context(), videoOf(stalled)) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := intake.take(ctx, videoOf(&videoOver{link: link, left: videoBytes}))
		g.Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
		g.Expect(never.Close()).To(Succeed())
		all.Wait()
		g.Expect(intake.wait()).To(BeZero())
		g.Expect(intake.held.Load()).To(BeZero())
		g.Expect(intake.turns.waiting).To(BeEmpty())
	})
}
