package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/phuslu/log"

	"boragefall/internal/node"
	"boragefall/internal/settings"
	"boragefall/internal/telemetry"
)

func nodeCommand(streams Streams) *ffcli.Command {
	s := &settings.Settings{}
	flags := s.FlagSet("node")
	flags.SetOutput(streams.Err)
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: programName + " node --settings FILE [flags]",
		ShortHelp:  "Run a node beside a backend server.",
		LongHelp: examples("Flags go over "+settings.EnvPrefix+"_... in the environment, which goes over the file. SIGTERM is a planned stop; a second one ends at once. With --store the node runs on the platform: it follows its metadata store, and SIGHUP makes it read its settings again.",
			programName+" node --settings node.json",
			programName+" node --settings node.json --log-level debug"),
		FlagSet: flags,
		Options: []ff.Option{
			ff.WithConfigFileFlag("settings"),
			ff.WithConfigFileParser(s.FileParser(flags)),
			ff.WithEnvVarPrefix(settings.EnvPrefix),
		},
		Exec: func(ctx context.Context, _ []string) error {
			if err := s.Check(); err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			return runNode(ctx, streams, *s)
		},
	}
}

// runNode runs a node until the first signal and then stops it as planned.
func runNode(ctx context.Context, streams Streams, s settings.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if s.Store != "" {
		signal.Notify(signals, syscall.SIGHUP)
	}
	defer signal.Stop(signals)
	if s.Store != "" {
		return runSidecar(ctx, signals, s)
	}
	limitMemory(s)
	logger := telemetry.NewLogger(s.LogLevel, streams.Err)
	n, err := node.Start(ctx, s, node.Options{Logger: logger, Stdout: streams.Out})
	if err != nil {
		return &ExitError{Code: ExitNo, Err: err}
	}
	logUnknownFields(logger, s)
	logger.Info().Str("part", "node").Str("host", s.Host).
		Str("callers", n.CallersAddress()).Str("admin", n.AdminAddress()).Msg("node started")
	select {
	case <-signals:
	case <-ctx.Done():
	}
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	select {
	case err := <-stopped:
		return err
	case <-signals:
		return &ExitError{Code: ExitNo}
	}
}

// logUnknownFields logs the fields of the settings file that were ignored.
func logUnknownFields(logger *log.Logger, s settings.Settings) {
	if len(s.UnknownFields) > 0 {
		logger.Warn().Str("part", "node").Strs("fields", s.UnknownFields).Msg("ignored unknown fields of the settings file")
	}
}
