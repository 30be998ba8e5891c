package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// latencies is a histogram of times.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

func (l *latencies) add(times ...time.Duration) {
	for _, t := range times {
		_ = l.histogram.RecordValue(min(max(t.Microseconds(), lowestMicros), highestMicros))
	}
}

// quantiles are the usual points of a distribution, in milliseconds.
type quantiles struct {
	Count  int64   `json:"count"`
	P50Ms  float64 `json:"p50Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
}

func (l *latencies) quantiles() quantiles {
	at := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	return quantiles{
		Count: l.histogram.TotalCount(),
		P50Ms: at(50), P99Ms: at(99), P999Ms: at(99.9),
		MaxMs: float64(l.histogram.Max()) / 1000,
	}
}
