package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"boragefall/internal/contract"
)

// ProbeConfig names the server's own endpoints. An empty path is not probed.
type ProbeConfig struct {
	// HealthPath is the endpoint that answers 2xx if the server reports itself
	// healthy.
	HealthPath string
	// LoadPath is the endpoint that answers the load as a number, where 1 is full.
	LoadPath string
	// Timeout bounds one probe. Default 1 s.
	Timeout time.Duration
}

const (
	defaultProbeTimeout = time.Second
	maxProbeBytes       = 256
)

// Probe is what the server reports about itself. It may be outdated or wrong.
type Probe struct {
	Healthy bool
	Load    float64
	BootID  string
}

// Probe queries the server's own endpoints.
func (c *Client) Probe(ctx context.Context, cfg ProbeConfig) Probe {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultProbeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	probe := Probe{Healthy: true}
	if cfg.HealthPath != "" {
		_, probe.BootID, probe.Healthy = c.fetch(ctx, cfg.HealthPath)
	}
	if cfg.LoadPath != "" {
		text, _, _ := c.fetch(ctx, cfg.LoadPath)
		load, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err == nil && load >= 0 {
			probe.Load = load
		}
	}
	return probe
}

func (c *Client) fetch(ctx context.Context, path string) (text, bootID string, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.cfg.Address+path, http.NoBody)
	if err != nil {
		return "", "", false
	}
	response, err := c.transport.Load().RoundTrip(request)
	if err != nil {
		return "", "", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	if err != nil {
		return "", "", false
	}
	return string(body), response.Header.Get(contract.HeaderBootID), response.StatusCode/100 == 2
}
