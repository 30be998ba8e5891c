package intake

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/verdict"
)

// pooledSource is a connection that is used for another request after its own; the race
// detector reports a deadline that is still set then.
type pooledSource struct {
	request int
	reads   chan struct{}
}

func (s *pooledSource) Read(p []byte) (int, error) {
	<-s.reads
	return len(p), nil
}

func (s *pooledSource) SetReadDeadline(time.Time) error {
	_ = s.request // as a pooled response writer is read
	return nil
}

// Guards against a read deadline that a goroutine sets on the connection of another
// request, after its own request has ended.
func TestNoDeadlineIsSetAfterTheBodyIsClosed(t *testing.T) {
	g := NewWithT(t)
	source := &pooledSource{reads: make(chan struct{})}
	bodies := NewBodyBuffer(BodyConfig{MaxBuffered: 1, SmallBody: 1})
	go func() { source.reads <- struct{}{}; source.reads <- struct{}{} }()
	body, err := bodies.Receive(source, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	reader := body.Reader()
	var work sync.WaitGroup
	var last error
	work.Go(func() {
		for last == nil {
			_, last = reader.Read(make([]byte, 1))
		}
	})
	body.Close()
	source.request = 2
	close(source.reads)
	work.Wait()
	g.Expect(verdict.FromError(last).Cause).To(MatchError(http.ErrBodyReadAfterClose))
}
