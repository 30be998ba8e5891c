package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/gomega"

	"boragefall/internal/contract"
	"boragefall/internal/telemetry"
)

// A truncated answer must never look complete to a caller, whether it has a length or not and
// whether the part is small enough to be buffered or not.
func TestTruncatedAnswerAbortsTheCallersConnection(t *testing.T) {
	for _, size := range []int{0, 10, 500_000} {
		for _, length := range []int64{-1, 600_000} {
			g := NewWithT(t)
			engine := gin.New()
			engine.NoRoute(func(c *gin.Context) {
				x := &callerRequest{entry: &Entry{Logger: telemetry.Silent()}, c: c, request: &contract.Request{}}
				body := io.MultiReader(strings.NewReader(strings.Repeat("p", size)), iotest.ErrReader(io.ErrUnexpectedEOF))
				x.writeAnswer(&contract.Answer{Status: 200, Header: http.Header{}, ContentLength: length, Body: io.NopCloser(body)})
			})
			server := httptest.NewServer(engine)
			response, err := http.Get(server.URL)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close() // read to its end
			}
			g.Expect(err).To(HaveOccurred(), "%d bytes, length %d", size, length)
			server.Close()
		}
	}
}
