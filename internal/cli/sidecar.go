package cli

import (
	"bytes"
	"context"
	"os"
	"runtime/debug"
	"syscall"
	"time"

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
	// gcPercent is the growth of the heap between collections. Memory is dearer
	// to the operators than the processor time of collections.
	gcPercent = 50
	// settingsPoll is how often the settings file is looked at: it may change
	// without a signal.
	settingsPoll = 5 * time.Second
)

// runSidecar runs a node on the platform until the first signal that ends it.
func runSidecar(ctx context.Context, signals <-chan os.Signal, s settings.Settings) error {
	limitMemory(s)
	decisions := telemetry.NewDecisionLog(s.LogLevel, os.Stdout)
	defer decisions.Close()
	logger := decisions.Logger
	store := platform.NewStore(s.Store)
	defer store.Close()
	n, err := sidecar.Start(ctx, s, sidecar.Options{
		Logger:       logger,
		DroppedLines: decisions.Dropped,
		Platform:     sidecar.Platform{Store: store, Decoder: platform.Decoder{}, Headers: platform.Headers{}},
	})
	if err != nil {
		logger.Error().Str("part", "node").Err(err).Msg("start failed")
		return &ExitError{Code: ExitNo, Err: err}
	}
	logUnknownFields(logger, s)
	logger.Info().Str("part", "node").Str("host", s.Host).Str("data_centre", s.DataCentre).Str("service", s.Service).
		Int("memory_mb", s.MemoryMB).Msg("node started")
	r := &reloader{current: s, store: store, node: n, logger: logger}
	r.await(ctx, signals)
	err = n.Stop(context.Background())
	logger.Info().Str("part", "node").Err(err).Msg("node stopped")
	return err
}

func limitMemory(s settings.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
}

// reloader takes in changes of the settings file.
type reloader struct {
	current settings.Settings
	content []byte
	store   *platform.Store
	node    *sidecar.Node
	logger  *log.Logger
}

// await returns at the first signal that ends the process. It looks at the
// settings file at SIGHUP and from time to time.
func (r *reloader) await(ctx context.Context, signals <-chan os.Signal) {
	r.content, _ = os.ReadFile(r.current.File) // an unreadable file shows below
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	for {
		select {
		case got := <-signals:
			if got != syscall.SIGHUP {
				return
			}
			r.reload(true)
		case <-poll.C:
			r.reload(false)
		case <-ctx.Done():
			return
		}
	}
}

// reload applies the settings that may change while a node runs. The addresses
// that it listens on, and what names it, hold until the next start. asked
// reports that the operators asked for it.
func (r *reloader) reload(asked bool) {
	content, err := os.ReadFile(r.current.File)
	if err != nil {
		r.logger.Warn().Str("part", "node").Err(err).Msg("settings not read, the old ones hold")
		return
	}
	if bytes.Equal(content, r.content) {
		if asked {
			r.logger.Info().Str("part", "node").Msg("settings read again, nothing changed")
		}
		return
	}
	r.content = content
	next, err := settings.Read("node", []string{"--settings", r.current.File})
	if err != nil {
		r.logger.Warn().Str("part", "node").Err(err).Msg("settings rejected, the old ones hold")
		return
	}
	logUnknownFields(r.logger, next)
	limitMemory(next)
	r.logger.SetLevel(log.ParseLevel(next.LogLevel))
	r.store.SetAddress(next.Store)
	r.node.Reload(next)
	r.logger.Info().Str("part", "node").Str("store", next.Store).Strs("peers", next.Peers).
		Int("memory_mb", next.MemoryMB).Str("log_level", next.LogLevel).Msg("settings reloaded")
	r.current = next
}
