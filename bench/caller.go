package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/standin"
)

// steadyCaller sends one GET after the other at an even rate, whether or not
// the earlier ones were answered.
type steadyCaller struct {
	client *http.Client
	rate   float64
}

// call sends to a URL for a time and returns the answers' latencies, from the
// send to the end of the body, and the other results by cause.
func (s steadyCaller) call(ctx context.Context, url string, length time.Duration) (*latencies, map[string]int) {
	all, failed := newLatencies(), map[string]int{}
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
			took, cause := s.once(ctx, url)
			mu.Lock()
			defer mu.Unlock()
			if cause != "" {
				failed[cause]++
				return
			}
			all.add(took)
		})
	}
	work.Wait()
	return all, failed
}

// once sends one call. The cause is empty for a good answer.
func (s steadyCaller) once(ctx context.Context, url string) (took time.Duration, cause string) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set(standin.HeaderOperation, "overhead")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, "no-answer"
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	took = time.Since(started)
	switch {
	case err != nil:
		return took, "cut"
	case response.StatusCode == http.StatusOK:
		return took, ""
	case response.Header.Get(contract.HeaderReason) != "":
		return took, response.Header.Get(contract.HeaderReason)
	default:
		return took, strconv.Itoa(response.StatusCode)
	}
}
