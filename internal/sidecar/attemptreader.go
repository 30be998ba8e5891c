package sidecar

import (
	"errors"
	"io"
	"sync/atomic"

	"boragefall/internal/verdict"
)

// attemptReader reads the body of one attempt and records why it failed, so that the
// failure is not attributed to the link over which the body is sent.
type attemptReader struct {
	io.Reader
	failed atomic.Pointer[verdict.Error]
}

// Read records errors other than io.EOF.
func (r *attemptReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.failed.Store(verdict.FromError(err))
	}
	return n, err
}

// failure returns the error that ended the body, or nil.
func (r *attemptReader) failure() *verdict.Error {
	return r.failed.Load()
}
