package telemetry

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporter selects the destination of spans.
type Exporter string

// Supported exporters.
const (
	ExporterOff    Exporter = "off"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// ErrBadExporter is returned for an unknown exporter.
var ErrBadExporter = eris.New("unknown trace exporter, want off, stdout or otlp")

// TracingConfig configures the sampling and the export of spans.
type TracingConfig struct {
	// Exporter is off, stdout or otlp. Default off.
	Exporter Exporter
	// Endpoint is the OTLP collector's URL. Defaults to the default of the
	// OpenTelemetry exporter.
	Endpoint string
	// Ratio is the fraction of traces started by this node that are sampled, from 0
	// to 1. Default 0.01.
	Ratio float64
	// Host is the value of the host.name attribute of the node's spans.
	Host string
}

// Tracing is a tracer whose Close flushes the spans that are not yet exported.
type Tracing struct {
	trace.Tracer
	close func(context.Context) error
}

const tracerName = "boragefall"

// NewTracing returns a tracer. With the exporter off it is a no-op tracer.
func NewTracing(ctx context.Context, cfg TracingConfig, stdout io.Writer) (*Tracing, error) {
	exporter, err := newExporter(ctx, cfg, stdout)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return &Tracing{Tracer: noop.NewTracerProvider().Tracer(tracerName), close: func(context.Context) error { return nil }}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("host.name", cfg.Host),
		)),
	)
	return &Tracing{Tracer: provider.Tracer(tracerName), close: provider.Shutdown}, nil
}

func newExporter(ctx context.Context, cfg TracingConfig, stdout io.Writer) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case ExporterOff, "":
		return nil, nil
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(stdout))
	case ExporterOTLP:
		var options []otlptracehttp.Option
		if cfg.Endpoint != "" {
			options = append(options, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		}
		return otlptracehttp.New(ctx, options...)
	default:
		return nil, eris.Wrapf(ErrBadExporter, "%q", cfg.Exporter)
	}
}

// Close exports the remaining spans and shuts the exporter down.
func (t *Tracing) Close(ctx context.Context) error {
	return t.close(ctx)
}
