package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics holds a node's metrics and the registry that they are registered with.
type Metrics struct {
	Registry       *prometheus.Registry
	answers        *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	requestSeconds prometheus.Histogram
	attempts       *prometheus.CounterVec
	storeCalls     *prometheus.CounterVec
	closedConns    *prometheus.CounterVec
}

const namespace = "boragefall"

// NewMetrics returns metrics that are labelled with the host's name.
func NewMetrics(host string) *Metrics {
	registry := prometheus.NewRegistry()
	labelled := prometheus.WrapRegistererWith(prometheus.Labels{"host": host}, registry)
	m := &Metrics{
		Registry: registry,
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total",
			Help: "Answers given to callers, by route and status class.",
		}, []string{"route", "class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refusals_total",
			Help: "Failed requests told to callers, by verdict and reason.",
		}, []string{"verdict", "reason"}),
		requestSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help:    "Time from a request's arrival to its answer's end.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total",
			Help: "Attempts made for callers' requests, by result.",
		}, []string{"result"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total",
			Help: "Calls of the platform's store, by call and result.",
		}, []string{"call", "result"}),
		closedConns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_closed_total",
			Help: "Connections and streams of clients that a limit closed or refused, by listener and reason.",
		}, []string{"listener", "reason"}),
	}
	labelled.MustRegister(m.answers, m.refusals, m.requestSeconds, m.attempts, m.storeCalls, m.closedConns,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

var statusClasses = [...]string{"other", "1xx", "2xx", "3xx", "4xx", "5xx"}

// Answered counts an answer sent to a caller and observes its duration.
func (m *Metrics) Answered(route string, status int, took time.Duration) {
	class := status / 100
	if class < 0 || class >= len(statusClasses) {
		class = 0
	}
	m.answers.WithLabelValues(route, statusClasses[class]).Inc()
	m.requestSeconds.Observe(took.Seconds())
}

// Refused counts a request that failed with a verdict sent to the caller.
func (m *Metrics) Refused(verdictText, reason string) {
	m.refusals.WithLabelValues(verdictText, reason).Inc()
}

// Attempted counts an attempt by its result.
func (m *Metrics) Attempted(result string) {
	m.attempts.WithLabelValues(result).Inc()
}

// StoreCalled counts a call to the platform's store by call and result.
func (m *Metrics) StoreCalled(call, result string) {
	m.storeCalls.WithLabelValues(call, result).Inc()
}

// ConnectionClosed counts a connection or stream that a limit closed or refused.
func (m *Metrics) ConnectionClosed(listener, reason string) {
	m.closedConns.WithLabelValues(listener, reason).Inc()
}

// Gauge registers a gauge whose value is read on each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// LabelledCounter registers a counter with one label, whose value is read on each scrape.
func (m *Metrics) LabelledCounter(name, help, label, value string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value},
	}, read))
}

// Counter registers a counter whose value is read on each scrape.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}
