package main

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/standin"
)

// steadyCaller sends one GET after the other at an even rate, whether or not
// the earlier ones were answered.
type steadyCaller struct {
	client *http.Client
	rate   float64
}

// call sends to a URL for a time and returns the answers' latencies, from the
// send to the end of the body, and the number of other results.
func (s steadyCaller) call(ctx context.Context, url string, length time.Duration) (*latencies, int) {
	all, failed := newLatencies(), atomic.Int64{}
	var mu sync.Mutex
	var work sync.WaitGroup
	started := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / s.rate * float64(time.Second))
		if due >= length || ctx.Err() != nil {
			break
		}
		if wait := due - time.Since(started); wait > 0 {
			time.Sleep(wait)
		}
		work.Go(func() {
			took, ok := s.once(ctx, url)
			if !ok {
				failed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all.add(took)
		})
	}
	work.Wait()
	return all, int(failed.Load())
}

func (s steadyCaller) once(ctx context.Context, url string) (time.Duration, bool) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	request.Header.Set(standin.HeaderOperation, "overhead")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return time.Since(started), err == nil && response.StatusCode == http.StatusOK
}
