package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/telemetry"
)

// BenchmarkExchange sends one request without a body over a link and reads its answer.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	run := runnerFunc(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
		_, _ = io.Copy(io.Discard, r.Body)
		return newAnswer(http.NoBody, 0), nil
	})
	handler := streamHandler{server: exchange.NewServer(run, func() config.Version { return config.Version{} }, telemetry.Silent())}
	server := link.NewListener(link.Config{}, link.Identity{}, &link.Counter{}, listener, handler, telemetry.Silent())
	go server.Serve(context.Background())
	defer server.Close()
	dialer := link.NewDialer(link.Config{}, link.ClassRequest, link.Identity{}, &link.Counter{})
	defer dialer.Close()
	client := exchange.NewClient(dialer)
	b.ReportAllocs()
	for b.Loop() {
		answer, err := client.Do(context.Background(), server.Address(), newRequest(http.NoBody, 0))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}
