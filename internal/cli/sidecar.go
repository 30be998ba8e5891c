package cli

import (
	"context"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/phuslu/log"

	"boragefall/internal/settings"
	"boragefall/internal/sidecar"
	"boragefall/internal/telemetry"
	"boragefall/platform"
)

const (
	// heapShare is the part of the permitted memory at which the runtime collects
	// garbage whatever it costs; the rest is for the program and sockets.
	heapShare = 0.6
	// gcPercent is the growth of the heap between collections.
	gcPercent = 100
)

// runSidecar runs a node on the platform until the first signal that ends it.
func runSidecar(ctx context.Context, signals <-chan os.Signal, s settings.Settings) error {
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	logger, closeLog := telemetry.NewDecisionLogger(s.LogLevel, os.Stdout)
	defer closeLog()
	store := platform.NewStore(s.Store)
	defer store.Close()
	n, err := sidecar.Start(ctx, s, sidecar.Options{
		Logger:   logger,
		Platform: sidecar.Platform{Store: store, Decoder: platform.Decoder{}, Headers: platform.Headers{}},
	})
	if err != nil {
		logger.Error().Str("part", "node").Err(err).Msg("start failed")
		return &ExitError{Code: ExitNo, Err: err}
	}
	logger.Info().Str("part", "node").Str("host", s.Host).Str("data_centre", s.DataCentre).Str("service", s.Service).
		Int("memory_mb", s.MemoryMB).Msg("node started")
	await(ctx, signals, logger)
	err = n.Stop(context.Background())
	logger.Info().Str("part", "node").Err(err).Msg("node stopped")
	return err
}

// await returns at the first signal that ends the process.
func await(ctx context.Context, signals <-chan os.Signal, logger *log.Logger) {
	for {
		select {
		case got := <-signals:
			if got == syscall.SIGHUP {
				logger.Info().Str("part", "node").Msg("settings reloaded: all of them hold until the next start")
				continue
			}
			return
		case <-ctx.Done():
			return
		}
	}
}
