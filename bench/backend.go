package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/host"
	"boragefall/internal/standin"
	"boragefall/internal/workload"
)

// backendCommand serves one warm stand-in backend server, or a plain forwarder
// to one, in a process of its own, so that it shares nothing with the callers.
// It prints its address and ends when its standard input closes.
func backendCommand() *ffcli.Command {
	flags := flag.NewFlagSet("backend", flag.ContinueOnError)
	name := flags.String("host", "host-1", "`name` of the host")
	work := flags.Duration("work", 0, "exact run `time` of a request")
	forward := flags.String("forward", "", "`IP:port` to forward to, in place of a server of its own")
	return &ffcli.Command{
		Name:      "backend",
		ShortHelp: "Serve one warm stand-in backend server; the experiments start it.",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			if *forward != "" {
				return serveForwarder(*forward)
			}
			return serveBackend(*name, *work)
		},
	}
}

func serveBackend(name string, work time.Duration) error {
	cfg := standin.ServerConfig{Host: host.ID(name), WorkTime: work, ExactWorkTime: true, StartWarm: true}
	server, err := standin.NewServer(cfg, standin.NewRecord())
	if err != nil {
		return err
	}
	defer server.Close()
	announce(server.Address())
	return nil
}

// announce prints an address and waits for the end of standard input.
func announce(address string) {
	fmt.Println(address)
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// serveForwarder passes each request on and copies the answer back: the least
// that one hop over HTTP costs on this machine.
func serveForwarder(address string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	transport := workload.Transport(overheadIdle)
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			forwardTo(w, r, transport, address)
		})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	announce(listener.Addr().String())
	return nil
}

func forwardTo(w http.ResponseWriter, r *http.Request, transport http.RoundTripper, address string) {
	sent := r.Clone(r.Context())
	sent.URL.Scheme, sent.URL.Host = "http", address
	response, err := transport.RoundTrip(sent)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
