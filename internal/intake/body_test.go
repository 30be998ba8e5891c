package intake

import (
	"bytes"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/verdict"
)

// slowConn is a caller's connection that sends chunk bytes after each delay.
type slowConn struct {
	data     []byte
	chunk    int
	delay    time.Duration
	broken   bool // the caller closes the connection early
	deadline time.Time
}

func (l *slowConn) SetReadDeadline(t time.Time) error {
	l.deadline = t
	return nil
}

func (l *slowConn) Read(p []byte) (int, error) {
	if len(l.data) == 0 {
		if l.broken {
			return 0, io.ErrUnexpectedEOF
		}
		return 0, io.EOF
	}
	if time.Now().Add(l.delay).After(l.deadline) {
		time.Sleep(time.Until(l.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(l.delay)
	n := copy(p, l.data[:min(l.chunk, len(l.data))])
	l.data = l.data[n:]
	return n, nil
}

// TestBodyIsReadCompletelyOrFails draws sizes, chunks and budgets. A body that is read to
// its end equals the data sent, byte for byte; a truncated body always fails; and the budget
// is never exceeded and is released completely.
func TestBodyIsReadCompletelyOrFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := bytes.Repeat([]byte("0123456789abc"), rapid.IntRange(0, 20000).Draw(t, "thirteens"))
		cfg := BodyConfig{
			Budget: int64(rapid.IntRange(1, 200_000).Draw(t, "budget")), MaxBuffered: int64(rapid.IntRange(1, 150_000).Draw(t, "buffered")),
			SmallBody: 1000, MaxBody: 200_000,
		}
		length := rapid.SampledFrom([]int64{-1, int64(len(data))}).Draw(t, "length")
		l := &slowConn{data: data, chunk: rapid.IntRange(1000, 70_000).Draw(t, "step"), broken: rapid.Bool().Draw(t, "broken")}
		bodies := NewBodyBuffer(cfg)
		body, err := bodies.Receive(l, length)
		if err != nil {
			if verdict.FromError(err).Verdict != verdict.NotRun {
				t.Fatalf("nothing was sent to a server, so the error must be not-run: %v", err)
			}
		} else {
			checkBody(t, body, bodies, data, l.broken && length != 0)
			body.Close()
		}
		if bodies.Buffered() != 0 {
			t.Fatalf("%d bytes of the budget were not released", bodies.Buffered())
		}
	})
}

func checkBody(t *rapid.T, body *Body, bodies *BodyBuffer, data []byte, broken bool) {
	if bodies.Buffered() > bodies.config.Budget || body.Size() > bodies.config.MaxBuffered+1 && body.Size() > bodies.config.SmallBody+1 {
		t.Fatalf("%d bytes are buffered, which exceeds the limits", bodies.Buffered())
	}
	for range 2 {
		got, err := io.ReadAll(body.Reader())
		tooLarge := int64(len(data)) > bodies.config.MaxBody
		switch {
		case err == nil && (broken || tooLarge || !bytes.Equal(got, data)):
			t.Fatalf("reading %d of %d bytes succeeded, want an error or the data sent", len(got), len(data))
		case err != nil && !broken && !tooLarge:
			t.Fatalf("reading a complete body failed: %v", err)
		case err != nil && verdict.FromError(err).Verdict != verdict.MayHaveRun:
			t.Fatalf("a server may have received the body, so the error must be may-have-run: %v", err)
		}
		if !body.CanOpen() {
			if _, err := body.Reader().Read(nil); err != ErrBodyConsumed {
				t.Fatalf("second reader of a streamed body returned %v, want ErrBodyConsumed", err)
			}
			return
		}
	}
}

// TestSlowBodyFailsAtItsTimeout delays a body while it is buffered and while it is streamed
// to a waiting server.
func TestSlowBodyFailsAtItsTimeout(t *testing.T) {
	cfg := BodyConfig{MaxBuffered: 20, SmallBody: 10, IdleTimeout: 10 * time.Second, StreamIdleTimeout: 2 * time.Second, TotalTimeout: time.Minute}
	for name, c := range map[string]struct {
		size     int
		pause    time.Duration
		duration time.Duration
		want     verdict.Verdict
	}{
		"stalls while the body is buffered":        {20, 11 * time.Second, 10 * time.Second, verdict.NotRun},
		"exceeds the total timeout while buffered": {20, 5 * time.Second, time.Minute, verdict.NotRun},
		"sends too slowly while streamed":          {30, 3 * time.Second, 35 * time.Second, verdict.MayHaveRun},
		"exceeds the total timeout while streamed": {99, time.Second, time.Minute, verdict.MayHaveRun},
		"is buffered completely in time":           {20, 2 * time.Second, 40 * time.Second, verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				begin := time.Now()
				l := &slowConn{data: make([]byte, c.size), chunk: 1, delay: c.pause}
				body, err := NewBodyBuffer(cfg).Receive(l, int64(c.size))
				if err == nil {
					_, err = io.ReadAll(body.Reader())
				}
				g.Expect(time.Since(begin)).To(Equal(c.duration))
				if c.want == verdict.Ran {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(l.deadline.IsZero()).To(BeTrue())
					return
				}
				g.Expect(verdict.FromError(err).Verdict).To(Equal(c.want))
			})
		})
	}
}

func TestLargeUploadsLeaveBudgetForSmallBodies(t *testing.T) {
	g := NewWithT(t)
	bodies := NewBodyBuffer(BodyConfig{Budget: 400_000, SmallBody: 10_000})
	take := func(size int) *Body {
		body, err := bodies.Receive(&slowConn{data: make([]byte, size), chunk: size}, int64(size))
		g.Expect(err).NotTo(HaveOccurred())
		return body
	}
	for range 5 {
		take(200_000)
	}
	g.Expect(take(200_000).CanOpen()).To(BeFalse())
	g.Expect(take(9000).CanOpen()).To(BeTrue())
}
