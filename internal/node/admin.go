package node

import (
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragefall/internal/link"
	"boragefall/internal/telemetry"
)

// admin is the HTTP server for operators.
type admin struct{ *http.Server }

// newAdmin returns the server for /metrics, /healthz, /readyz, /status and /fleet.
func newAdmin(status *statusReader, f *fleet, m *telemetry.Metrics) admin {
	registerGauges(status, m)
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/metrics", gin.WrapH(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})))
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", func(c *gin.Context) {
		if !status.ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	engine.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, status.read()) })
	engine.GET("/fleet", func(c *gin.Context) { c.JSON(http.StatusOK, f.read(c.Request.Context())) })
	return admin{&http.Server{Handler: engine}}
}

func registerGauges(status *statusReader, m *telemetry.Metrics) {
	m.Gauge("gate_running", "Requests running on the backend server.", func() float64 {
		return float64(status.gate.Load().Running)
	})
	m.Gauge("gate_queued", "Requests waiting for a slot.", func() float64 {
		return float64(status.gate.Load().Queued)
	})
	m.Gauge("gate_limit", "Requests that may run at once now.", func() float64 {
		return float64(status.gate.Load().Limit)
	})
	m.Gauge("config_revision", "Revision of the configuration in force.", func() float64 {
		return float64(status.state.version().Revision)
	})
	m.Gauge("config_epoch", "Epoch of the configuration in force.", func() float64 {
		return float64(status.state.version().Epoch)
	})
	m.Gauge("source_age_seconds", "Time since the last known contact with the source.", func() float64 {
		return status.runner.Status().SourceAge.Seconds()
	})
	m.Gauge("ledger_keys", "Keys in the ledger.", func() float64 { return float64(status.ledger.Len()) })
	m.Counter("control_sent_bytes_total", "Control bytes sent.", func() float64 {
		return float64(status.counter.Sent(link.ClassControl))
	})
	m.Counter("control_received_bytes_total", "Control bytes received.", func() float64 {
		return float64(status.counter.Received(link.ClassControl))
	})
}
