package intake

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/verdict"
)

// Source is a caller's body on its connection. http.ResponseController gives
// the deadline.
type Source interface {
	io.Reader
	// SetReadDeadline makes Read fail with os.ErrDeadlineExceeded at a time.
	SetReadDeadline(time.Time) error
}

// timedReader reads a Source within time and size limits and turns its errors
// into verdict errors.
type timedReader struct {
	source        Source
	idleTimeout   time.Duration
	totalDeadline time.Time
	remaining     int64 // bytes until the body is too large
	verdict       verdict.Verdict
	retryAfter    time.Duration
}

// Read implements io.Reader.
func (r *timedReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(r.idleTimeout)
	if deadline.After(r.totalDeadline) {
		deadline = r.totalDeadline
	}
	if err := r.source.SetReadDeadline(deadline); err != nil {
		return 0, r.newError(verdict.ReasonCanceled, eris.Wrap(err, "set read deadline"))
	}
	n, err := r.source.Read(p)
	r.remaining -= int64(n)
	switch {
	case r.remaining < 0:
		return 0, r.newError(verdict.ReasonBodyTooLarge, nil)
	case err == nil:
		return n, nil
	case err == io.EOF: // not errors.Is: an error that holds an EOF is no whole body
		return n, r.clearDeadline()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, r.newError(verdict.ReasonDeadline, ErrSlowBody)
	default:
		return n, r.newError(verdict.ReasonCanceled, err)
	}
}

// clearDeadline takes the deadline off the connection, which the server goes on
// reading to notice that the caller leaves.
func (r *timedReader) clearDeadline() error {
	if err := r.source.SetReadDeadline(time.Time{}); err != nil {
		return r.newError(verdict.ReasonCanceled, eris.Wrap(err, "clear read deadline"))
	}
	return io.EOF
}

func (r *timedReader) newError(reason verdict.Reason, cause error) error {
	failure := verdict.New(r.verdict, reason, cause)
	failure.RetryAfter = r.retryAfter
	return failure
}
