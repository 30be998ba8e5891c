package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
)

// identifiedServer answers each request at once and names itself.
type identifiedServer struct{ instantServer }

func (identifiedServer) Do(context.Context, serverconn.Request) (*serverconn.Answer, error) {
	return serverAnswer(http.StatusOK, protocol.ServerResponse{Signed: true, Server: "10.0.0.2"}), nil
}

// Guards against a node that stops for good, because the end of a health check and a new
// view of the store wait for each other's lock.
func TestHealthChecksAndNewViewsDoNotBlockEachOther(t *testing.T) {
	g := NewWithT(t)
	view := newTestView(1)
	hop := newTestHop(t, view)
	hop.client = identifiedServer{}
	const rounds = 20_000
	done := make(chan struct{}, 2)
	go func() {
		for range rounds {
			hop.Update(view)
		}
		done <- struct{}{}
	}()
	go func() {
		for range rounds {
			hop.prober.probe()
		}
		done <- struct{}{}
	}()
	for range 2 {
		g.Eventually(done, 30*time.Second).Should(Receive())
	}
}
