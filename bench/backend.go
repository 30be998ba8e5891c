package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/host"
	"boragefall/internal/standin"
)

// backendCommand serves one warm stand-in backend server in a process of its
// own, so that it shares nothing with the callers. It prints its address and
// ends when its standard input closes.
func backendCommand() *ffcli.Command {
	flags := flag.NewFlagSet("backend", flag.ContinueOnError)
	name := flags.String("host", "host-1", "`name` of the host")
	work := flags.Duration("work", 0, "exact run `time` of a request")
	return &ffcli.Command{
		Name:      "backend",
		ShortHelp: "Serve one warm stand-in backend server; the experiments start it.",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
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
	fmt.Println(server.Address())
	_, _ = os.Stdin.Read(make([]byte, 1))
	return nil
}
