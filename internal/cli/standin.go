package cli

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/host"
	"boragefall/internal/standin"
)

func standinCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("standin", streams)
	return &ffcli.Command{
		Name:        "standin",
		ShortUsage:  programName + " standin platform|server [flags]",
		ShortHelp:   "Run a stand-in of the platform or of a backend server, to try a plain installation.",
		FlagSet:     flags,
		Subcommands: []*ffcli.Command{standinPlatform(streams), standinServer(streams)},
		Exec: func(context.Context, []string) error {
			flags.Usage()
			return &ExitError{Code: ExitUsage}
		},
	}
}

func standinPlatform(streams Streams) *ffcli.Command {
	flags := newFlagSet("platform", streams)
	listen := flags.String("listen", "127.0.0.1:5000", "`IP:port` to serve on")
	folder := flags.String("folder", "", "`directory` of configuration files")
	hosts := flags.String("hosts", "", "JSON `file` with the host list")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: programName + " standin platform --folder DIR --hosts FILE [--listen ADDR]",
		ShortHelp:  "Serve a folder and a host list from disk, as the platform would.",
		LongHelp:   examples("Changes on disk are published.", programName+" standin platform --folder examples/fyrnet --hosts examples/plain/hosts.json"),
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *folder == "" || *hosts == "" {
				return Usage("--folder and --hosts are required")
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			p := standin.NewPlatform(standin.PlatformConfig{})
			go p.WatchFolder(ctx, *folder, *hosts, func(err error) { printLine(streams.Err, "platform: %v", err) })
			return serveHTTP(ctx, *listen, p.Handler())
		},
	}
}

func standinServer(streams Streams) *ffcli.Command {
	flags := newFlagSet("server", streams)
	listen := flags.String("listen", "127.0.0.1:6001", "`IP:port` to serve on")
	name := flags.String("host", "host-1", "`name` of the host")
	slots := flags.Int("slots", 10, "`number` of requests run at once")
	work := flags.Duration("work", 2*time.Millisecond, "mean run `time` of a request")
	return &ffcli.Command{
		Name:       "server",
		ShortUsage: programName + " standin server [--listen ADDR] [--host NAME]",
		ShortHelp:  "Serve as a backend server would, with slots and a cold start.",
		LongHelp:   examples("It names itself in each answer.", programName+" standin server --listen 127.0.0.1:6001 --host esbjerg-status"),
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			cfg := standin.ServerConfig{Host: host.ID(*name), Listen: *listen, Slots: *slots, WorkTime: *work}
			server, err := standin.NewServer(cfg, standin.NewRecord())
			if err != nil {
				return &ExitError{Code: ExitNo, Err: err}
			}
			defer server.Close()
			<-ctx.Done()
			return nil
		},
	}
}

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, listen string, handler http.Handler) error {
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: adminTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		return &ExitError{Code: ExitNo, Err: err}
	}
	return nil
}
