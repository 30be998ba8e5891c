package sidecar

import (
	"context"
	"io"
	"math"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/verdict"
)

// doWithAttempts sends an idempotent request on a route with a number of attempts.
func (w *dispatcherFixture) doWithAttempts(maxAttempts int) (*contract.Answer, *verdict.Error) {
	now := time.Now()
	return w.dispatcher.Do(context.Background(), &contract.Request{
		ID: "9c41", Service: "orders", Route: "order", Idempotent: true,
		Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(1200 * time.Millisecond),
	}, &mesh.Route{Name: "order", MaxAttempts: maxAttempts}, emptyBody{})
}

// Guards against memory sized by max_attempts: a value that means "no limit" ended each
// process that got a request on the route, out of memory.
func TestMaxAttemptsSizesNoMemory(t *testing.T) {
	const bound = 64 << 10
	for _, maxAttempts := range []int{2, 1_000_000, math.MaxInt, math.MaxInt32} {
		w := newDispatcherFixture(t, 3)
		w.peers.answer = func(context.Context, int, *contract.Request) (*contract.Answer, error) {
			return answerWithStatus(http.StatusOK), nil
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		answer, e := w.doWithAttempts(maxAttempts)
		runtime.ReadMemStats(&after)
		w.Expect(e).To(BeNil())
		w.Expect(answer.Body.Close()).To(Succeed())
		w.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", bound), "max_attempts %d", maxAttempts)
	}
}

// countedBody counts the calls of Close.
type countedBody struct {
	io.ReadCloser
	closed *atomic.Int64
}

func (b countedBody) Close() error {
	b.closed.Add(1)
	return b.ReadCloser.Close()
}

// Guards against attempts that wait for ever to report their result: with any number of
// attempts, those still in progress end with the request, and their answers are closed.
func TestAttemptsInProgressEndWithTheRequest(t *testing.T) {
	for _, maxAttempts := range []int{2, math.MaxInt} {
		synctest.Test(t, func(t *testing.T) { // fails if a goroutine is left
			w := newDispatcherFixture(t, 3)
			var closed atomic.Int64 // the bodies are closed by different goroutines
			w.peers.answer = func(ctx context.Context, n int, _ *contract.Request) (*contract.Answer, error) {
				if n == 0 {
					<-ctx.Done() // the first server answers too late
				}
				answer := answerWithStatus(http.StatusOK)
				answer.Body = countedBody{answer.Body, &closed}
				return answer, nil
			}
			answer, e := w.doWithAttempts(maxAttempts)
			w.Expect(e).To(BeNil())
			w.Expect(w.peers.sendCount()).To(Equal(2))
			w.Expect(answer.Body.Close()).To(Succeed())
			synctest.Wait()
			w.Expect(closed.Load()).To(BeEquivalentTo(2))
		})
	}
}
