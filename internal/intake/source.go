package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/verdict"
)

// Source is the body of a request on the caller's connection. Its deadline can be set with
// http.ResponseController.
type Source interface {
	io.Reader
	// SetReadDeadline makes Read fail with os.ErrDeadlineExceeded after the given time.
	SetReadDeadline(time.Time) error
}

// timedReader reads a Source within limits of time and size and converts its errors to
// verdict errors.
type timedReader struct {
	source        Source
	idleTimeout   time.Duration
	totalDeadline time.Time
	remaining     int64 // bytes left until MaxBody is exceeded
	verdict       verdict.Verdict
	retryAfter    time.Duration

	mu sync.Mutex
	// closed reports that the request has ended: the connection may carry another one.
	closed bool
}

// Read implements io.Reader.
func (r *timedReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(r.idleTimeout)
	if deadline.After(r.totalDeadline) {
		deadline = r.totalDeadline
	}
	if err := r.setDeadline(deadline); err != nil {
		return 0, r.newError(verdict.ReasonCanceled, err)
	}
	n, err := r.source.Read(p)
	r.remaining -= int64(n)
	switch {
	case r.remaining < 0:
		return 0, r.newError(verdict.ReasonBodyTooLarge, nil)
	case err == nil:
		return n, nil
	case err == io.EOF: // not errors.Is: a wrapped EOF does not mean that the body is complete
		return n, r.clearDeadline()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, r.newError(verdict.ReasonDeadline, ErrSlowBody)
	default:
		return n, r.newError(verdict.ReasonCanceled, err)
	}
}

// clearDeadline removes the read deadline, because the server keeps reading from the
// connection to detect that the caller has closed it.
func (r *timedReader) clearDeadline() error {
	if err := r.setDeadline(time.Time{}); err != nil {
		return r.newError(verdict.ReasonCanceled, err)
	}
	return io.EOF
}

// setDeadline sets the deadline of the source, unless the request has ended.
func (r *timedReader) setDeadline(at time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return http.ErrBodyReadAfterClose
	}
	return eris.Wrap(r.source.SetReadDeadline(at), "set read deadline")
}

// close ends all use of the source's deadline.
func (r *timedReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *timedReader) newError(reason verdict.Reason, cause error) error {
	failure := verdict.New(r.verdict, reason, cause)
	failure.RetryAfter = r.retryAfter
	return failure
}
