package sidecar

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

const (
	narrowMbps  = 27.0
	uploadBytes = 280_000
)

// narrowLink transmits parts of bodies one at a time. It is a channel, not a mutex,
// since virtual time does not advance while a goroutine waits for a mutex.
type narrowLink chan struct{}

const linkChunkBytes = 32 << 10

func (l narrowLink) transmit(bytes int) {
	l <- struct{}{}
	time.Sleep(time.Duration(float64(bytes) * 8 / (narrowMbps * 1e6) * float64(time.Second)))
	<-l
}

// uploadBody is a body that arrives over a link.
type uploadBody struct {
	link      narrowLink
	remaining int
}

func (v *uploadBody) Read(p []byte) (int, error) {
	if v.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), v.remaining, linkChunkBytes)
	v.link.transmit(n)
	v.remaining -= n
	return n, nil
}

func uploadRequest(body io.Reader) *contract.Request {
	return &contract.Request{Body: body, ContentLength: uploadBytes}
}

// Guards against concurrent uploads over a narrow link: four bodies at once each take
// four times as long, and a lookup to the same host waits behind a part of each.
func TestUploadsOverANarrowLinkAreReceivedOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		receiver, link := newBodyReceiver(narrowMbps, 1024), make(narrowLink, 1)
		started := time.Now()
		var mu sync.Mutex
		var took []time.Duration
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				release, err := receiver.receive(t.Context(), uploadRequest(&uploadBody{link: link, remaining: uploadBytes}))
				g.Expect(err).NotTo(HaveOccurred())
				release()
				mu.Lock()
				took = append(took, time.Since(started))
				mu.Unlock()
			})
		}
		time.Sleep(10 * time.Millisecond)
		lookupStarted := time.Now()
		link.transmit(1000)
		g.Expect(time.Since(lookupStarted)).To(BeNumerically("<", 25*time.Millisecond), "a lookup waits for at most two parts")
		all.Wait()
		const transferTime = 84 * time.Millisecond
		g.Expect(took[0]).To(BeNumerically("<", 3*transferTime/2))
		g.Expect(took[3]).To(BeNumerically("<", 9*transferTime/2))
		g.Expect(receiver.queueDelay()).To(BeZero())
	})
}

func TestStalledBodyDelaysOthersOnlyForItsTransferTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		receiver, link := newBodyReceiver(narrowMbps, 1024), make(narrowLink, 1)
		stalledReader, stalledWriter := io.Pipe()
		var all sync.WaitGroup
		all.Go(func() {
			_, err := receiver.receive(t.Context(), uploadRequest(stalledReader))
			g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		})
		synctest.Wait()
		started := time.Now()
		release, err := receiver.receive(t.Context(), uploadRequest(&uploadBody{link: link, remaining: uploadBytes}))
		g.Expect(err).NotTo(HaveOccurred())
		release()
		g.Expect(time.Since(started)).To(BeNumerically("<", 250*time.Millisecond))
		g.Expect(stalledWriter.Close()).To(Succeed())
		all.Wait()
	})
}

func TestCanceledBodyLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		receiver, link := newBodyReceiver(narrowMbps, 1024), make(narrowLink, 1)
		stalledReader, stalledWriter := io.Pipe()
		var all sync.WaitGroup
		all.Go(func() { _, _ = receiver.receive(t.Context(), uploadRequest(stalledReader)) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := receiver.receive(ctx, uploadRequest(&uploadBody{link: link, remaining: uploadBytes}))
		g.Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		g.Expect(stalledWriter.Close()).To(Succeed())
		all.Wait()
		g.Expect(receiver.queueDelay()).To(BeZero())
		g.Expect(receiver.buffered.Load()).To(BeZero())
		g.Expect(receiver.queue.waiting).To(BeEmpty())
	})
}

// Guards against a stated length whose sum with other bodies overflows: it was taken to fit
// into the budget, and its allocation ended the process.
func TestBodyOfAnyStatedLengthKeepsToTheBudget(t *testing.T) {
	g := NewWithT(t)
	receiver := newBodyReceiver(narrowMbps, 128)
	ended := make(chan struct{})
	unread, finish := io.Pipe()
	go func() {
		defer close(ended)
		_, _ = receiver.receive(t.Context(), uploadRequest(unread)) // it is only held in progress
	}()
	g.Eventually(receiver.buffered.Load).Should(BeEquivalentTo(uploadBytes))
	for _, length := range []int64{math.MaxInt64, math.MaxInt64 - uploadBytes + 1, 1 << 62, receiver.budget + 1} {
		r := uploadRequest(http.NoBody)
		r.ContentLength = length
		release, err := receiver.receive(t.Context(), r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.BodyBuffered).To(BeFalse(), "it is streamed")
		release()
		g.Expect(receiver.buffered.Load()).To(BeEquivalentTo(uploadBytes))
	}
	g.Expect(finish.Close()).To(Succeed())
	<-ended
}
