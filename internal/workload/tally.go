package workload

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"boragefall/internal/standin"
	"boragefall/internal/verdict"
)

// Bounds of the latency histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// Tally counts the results of a load. It is safe for concurrent use.
type Tally struct {
	record *standin.Record

	mu      sync.Mutex
	phase   string
	kinds   map[kindKey]*kindTally
	tries   int
	refusal map[string]int
	reason  map[string]int
	ends    []ending
	wrong   int
}

// kindKey names a kind of operation in a phase of the load.
type kindKey struct{ phase, name string }

// kindTally counts one kind of operation.
type kindTally struct {
	count      int
	good       int
	byVerdict  map[string]int
	latency    *hdrhistogram.Histogram
	idempotent bool
}

// ending is what a caller was told in the end, to compare with the record.
type ending struct {
	operation  string
	idempotent bool
	good       bool
	notRun     bool
}

// NewTally returns an empty tally that compares with a record.
func NewTally(record *standin.Record) *Tally {
	return &Tally{record: record, kinds: map[kindKey]*kindTally{}, refusal: map[string]int{}, reason: map[string]int{}}
}

// Enter begins a phase: operations that start from now on count to it.
func (t *Tally) Enter(phase string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase = phase
}

// Phase returns the phase that counts now.
func (t *Tally) Phase() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase
}

func (t *Tally) tried(r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tries++
	if r.refused {
		t.refusal[r.verdict.String()]++
		t.reason[r.verdict.String()+" "+r.reason]++
	}
	if r.wrong && r.status != 0 {
		t.wrong++
	}
}

func (t *Tally) ended(p *performance, last reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kind(p.phase, p.operation)
	k.count++
	if last.good() {
		k.good++
		_ = k.latency.RecordValue(min(max(took.Microseconds(), lowestMicros), highestMicros))
	} else {
		k.byVerdict[failure(last)]++
	}
	t.ends = append(t.ends, ending{
		operation:  last.operation,
		idempotent: p.operation.Idempotent,
		good:       last.good(),
		notRun:     last.refused && last.verdict == verdict.NotRun,
	})
}

// failure names how an operation failed in its caller's eyes.
func failure(r reply) string {
	switch {
	case r.refused:
		return r.verdict.String()
	case r.status != 0 && !r.wrong:
		return "server-error"
	default:
		return "no-answer"
	}
}

func (t *Tally) kind(phase string, o Operation) *kindTally {
	key := kindKey{phase: phase, name: o.Name}
	k, ok := t.kinds[key]
	if !ok {
		k = newKindTally(o.Idempotent)
		t.kinds[key] = k
	}
	return k
}

// KindResult is the result of one kind of operation.
type KindResult struct {
	Operations int            `json:"operations"`
	Good       int            `json:"good"`
	Idempotent bool           `json:"idempotent"`
	Failed     map[string]int `json:"failed,omitempty"`
	P50Ms      float64        `json:"p50Ms"`
	P99Ms      float64        `json:"p99Ms"`
	MaxMs      float64        `json:"maxMs"`
}

// Result is the result of a load.
type Result struct {
	Operations int            `json:"operations"`
	Good       int            `json:"good"`
	Tries      int            `json:"tries"`
	Refusals   map[string]int `json:"refusals"`
	// Reasons splits Refusals: "verdict reason" -> tries.
	Reasons map[string]int        `json:"reasons"`
	Kinds   map[string]KindResult `json:"kinds"`
}

// Result returns what was counted so far, over all phases.
func (t *Tally) Result() Result {
	return t.result(func(kindKey) bool { return true })
}

// PhaseResult returns what was counted of the operations that began in a
// phase. Tries and refusals are those of all phases.
func (t *Tally) PhaseResult(phase string) Result {
	return t.result(func(key kindKey) bool { return key.phase == phase })
}

func (t *Tally) result(wanted func(kindKey) bool) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[string]*kindTally{}
	for key, k := range t.kinds {
		if !wanted(key) {
			continue
		}
		sum, ok := sums[key.name]
		if !ok {
			sum = newKindTally(k.idempotent)
			sums[key.name] = sum
		}
		sum.merge(k)
	}
	out := Result{Tries: t.tries, Refusals: maps.Clone(t.refusal), Reasons: maps.Clone(t.reason), Kinds: map[string]KindResult{}}
	for name, k := range sums {
		out.Operations += k.count
		out.Good += k.good
		out.Kinds[name] = k.result()
	}
	return out
}

func newKindTally(idempotent bool) *kindTally {
	return &kindTally{
		byVerdict:  map[string]int{},
		latency:    hdrhistogram.New(lowestMicros, highestMicros, digits),
		idempotent: idempotent,
	}
}

func (k *kindTally) merge(other *kindTally) {
	k.count += other.count
	k.good += other.good
	for text, n := range other.byVerdict {
		k.byVerdict[text] += n
	}
	k.latency.Merge(other.latency)
}

func (k *kindTally) result() KindResult {
	return KindResult{
		Operations: k.count, Good: k.good, Failed: k.byVerdict, Idempotent: k.idempotent,
		P50Ms: millis(k.latency.ValueAtQuantile(50)),
		P99Ms: millis(k.latency.ValueAtQuantile(99)),
		MaxMs: millis(k.latency.Max()),
	}
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}
