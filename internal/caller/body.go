package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"sync/atomic"
)

// BodiesConfig bounds the memory for callers' bodies.
type BodiesConfig struct {
	// MaxWhole is the longest body kept whole, in bytes. Default 256 KiB.
	MaxWhole int64
	// Budget is the memory for all bodies kept whole, in bytes. Default 8 MiB.
	Budget int64
}

const (
	defaultMaxWhole = 256 << 10
	defaultBudget   = 8 << 20
)

// Bodies takes callers' bodies in.
type Bodies struct {
	cfg  BodiesConfig
	used atomic.Int64
}

// NewBodies returns an empty store.
func NewBodies(cfg BodiesConfig) *Bodies {
	if cfg.MaxWhole == 0 {
		cfg.MaxWhole = defaultMaxWhole
	}
	if cfg.Budget == 0 {
		cfg.Budget = defaultBudget
	}
	return &Bodies{cfg: cfg}
}

// Body is a caller's body: whole in memory, or streamed once.
type Body struct {
	store  *Bodies
	whole  bool
	data   []byte
	rest   io.Reader
	opened bool
	held   int64
}

// Take reads a body whole if it is short enough and memory is left.
func (b *Bodies) Take(_ context.Context, r *http.Request) (*Body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &Body{store: b, whole: true}, nil
	}
	want := r.ContentLength
	if want < 0 || want > b.cfg.MaxWhole {
		return &Body{store: b, rest: r.Body}, nil
	}
	if b.used.Add(want) > b.cfg.Budget {
		b.used.Add(-want)
		return &Body{store: b, rest: r.Body}, nil
	}
	data := make([]byte, want)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		b.used.Add(-want)
		return nil, err
	}
	return &Body{store: b, whole: true, data: data, held: want}, nil
}

// Open returns the body for the next attempt; false when it is gone.
func (b *Body) Open() (io.Reader, bool) {
	if b.whole {
		return bytes.NewReader(b.data), true
	}
	if b.opened {
		return nil, false
	}
	b.opened = true
	return b.rest, true
}

// Replayable reports whether Open will succeed once more.
func (b *Body) Replayable() bool {
	return b.whole || !b.opened
}

// Whole reports whether the body is in memory.
func (b *Body) Whole() bool {
	return b.whole
}

// Bytes returns a whole body. It must not be changed.
func (b *Body) Bytes() []byte {
	return b.data
}

// Size returns the length of a whole body in bytes.
func (b *Body) Size() int64 {
	return int64(len(b.data))
}

// Digest returns the SHA-256 of a whole body.
func (b *Body) Digest() [sha256.Size]byte {
	return sha256.Sum256(b.data)
}

// Close gives the memory back.
func (b *Body) Close() {
	b.store.used.Add(-b.held)
	b.held = 0
}
