package caller

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

// copyBufferBytes is the size of the pooled buffers that answer bodies are copied through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// writeAnswer forwards a backend server's answer to the caller. When the answer body
// ends early, the caller's connection is aborted, so that the caller can't mistake a
// truncated answer for a complete one.
func (x *exchange) writeAnswer(a *contract.Answer) {
	defer func() { _ = a.Body.Close() }()
	writer := x.c.Writer
	header := writer.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	header.Set(contract.HeaderRequestID, x.request.ID)
	header.Set(contract.HeaderVerdict, verdict.Ran.String())
	if a.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	writer.WriteHeader(a.Status)
	writer.WriteHeaderNow()
	if err := x.copyBody(a); err != nil {
		x.handler.cfg.Logger.Warn().Str("part", "caller").Str("request", x.request.ID).Err(err).Msg("answer cut")
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.Trailer() {
		header[http.TrailerPrefix+name] = values
	}
	x.handler.cfg.Meter.Answered(x.request.Route, a.Status, time.Since(x.started))
}

func (x *exchange) copyBody(a *contract.Answer) error {
	if x.request.Method == http.MethodHead || !bodyAllowed(a.Status) {
		return nil
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := a.Body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := x.c.Writer.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if a.ContentLength < 0 {
				x.c.Writer.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeRefusal sends the final verdict to the caller, with its reason and Retry-After.
func (x *exchange) writeRefusal(e *verdict.Error) {
	header := x.c.Writer.Header()
	header.Set(contract.HeaderVerdict, e.Verdict.String())
	header.Set(contract.HeaderReason, e.Reason.String())
	if wait := e.RetryAfter; wait > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(wait.Seconds())), 10))
	}
	status, ok := statusByReason[e.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	x.handler.cfg.Meter.Refused(e.Verdict.String(), e.Reason.String())
	x.c.String(status, fmt.Sprintf("%s: %s\n", e.Verdict, e.Reason))
}
