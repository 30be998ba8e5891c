package node

import (
	"time"

	"boragefall/internal/config"
	"boragefall/internal/gate"
	"boragefall/internal/host"
	"boragefall/internal/ledger"
	"boragefall/internal/link"
	"boragefall/internal/membership"
	"boragefall/internal/spread"
)

// Status is the state of a node as reported by /status.
type Status struct {
	Host       host.ID `json:"host"`
	DataCentre string  `json:"dataCentre"`
	Region     string  `json:"region"`
	Service    string  `json:"service"`
	UpSeconds  int64   `json:"upSeconds"`
	Ready      bool    `json:"ready"`
	Leaving    bool    `json:"leaving"`
	Version    string  `json:"version"`
	Hash       string  `json:"hash"`
	Floor      string  `json:"floor"`
	Validation uint32  `json:"validation"`
	// HostList is the revision that all components compare; HostListVersion is
	// the same version in the epoch.revision form of the platform.
	HostList        uint64          `json:"hostListRevision"`
	HostListVersion string          `json:"hostListVersion"`
	Role            string          `json:"role"`
	SourceAgeMs     int64           `json:"sourceAgeMs"`
	Rejected        []Rejected      `json:"rejected"`
	Gate            GateStatus      `json:"gate"`
	LedgerKeys      int             `json:"ledgerKeys"`
	LeaseSeconds    float64         `json:"leaseSeconds"`
	Members         int             `json:"members"`
	ControlSent     int64           `json:"controlBytesSent"`
	ControlReceived int64           `json:"controlBytesReceived"`
	SourceReads     uint64          `json:"sourceReads"`
	StaleReads      uint64          `json:"staleReads"`
	SpreadDetails   spread.Counters `json:"spread"`
}

// Rejected is a configuration or host list version that failed validation.
type Rejected struct {
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

// GateStatus is the load of the backend server beside the node.
type GateStatus struct {
	State       string `json:"state"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Limit       int    `json:"limit"`
	Quarantined int    `json:"quarantined"`
}

// statusReader collects the status from the components of the node.
type statusReader struct {
	state    *state
	boot     bootTime
	runner   *spread.Runner
	gate     *gate.Gate
	ledger   *ledger.Ledger
	owner    *owner
	registry *membership.Registry
	counter  *link.Counter
}

func newStatusReader(s *state, b bootTime, r *spread.Runner, g *gate.Gate, l *ledger.Ledger, o *owner, m *membership.Registry, c *link.Counter) *statusReader {
	return &statusReader{state: s, boot: b, runner: r, gate: g, ledger: l, owner: o, registry: m, counter: c}
}

// ready reports whether the node can serve: it holds a configuration and a
// host list and is not leaving.
func (r *statusReader) ready() bool {
	return r.state.snapshot.Load() != nil && r.state.list.Load().Revision > 0 && !r.state.leaving()
}

func (r *statusReader) read() Status {
	self := r.state.self
	spreadStatus := r.runner.Status()
	return Status{
		Host:            self.ID,
		DataCentre:      string(self.Place.DataCentre),
		Region:          string(self.Place.Region),
		Service:         self.Service,
		UpSeconds:       int64(time.Since(time.Time(r.boot)).Seconds()),
		Ready:           r.ready(),
		Leaving:         r.state.leaving(),
		Version:         spreadStatus.Config.String(),
		Hash:            spreadStatus.ConfigHash.String(),
		Floor:           spreadStatus.ConfigFloor.String(),
		Validation:      config.ValidationNumber,
		HostList:        r.state.list.Load().Revision,
		HostListVersion: spreadStatus.HostList.String(),
		Role:            spreadStatus.Role,
		SourceAgeMs:     spreadStatus.SourceAge.Milliseconds(),
		Rejected:        convertRejections(spreadStatus.Rejected),
		Gate:            r.gateStatus(),
		LedgerKeys:      r.ledger.Len(),
		LeaseSeconds:    r.leaseSeconds(),
		Members:         len(r.registry.View().Members),
		ControlSent:     r.counter.Sent(link.ClassControl),
		ControlReceived: r.counter.Received(link.ClassControl),
		SourceReads:     spreadStatus.Counters.Reads,
		StaleReads:      spreadStatus.Counters.StaleReads,
		SpreadDetails:   spreadStatus.Counters,
	}
}

// maxReportedLease is the reported duration of a lease that needs no renewal, which is the lease
// of the only host of a service.
const maxReportedLease = time.Hour

func (r *statusReader) leaseSeconds() float64 {
	remaining := time.Until(r.owner.machine.LeaseUntil())
	return min(max(remaining, 0), maxReportedLease).Seconds()
}

func (r *statusReader) gateStatus() GateStatus {
	load := r.gate.Load()
	return GateStatus{
		State:       load.State.String(),
		Running:     load.Running,
		Queued:      load.Queued,
		Limit:       load.Limit,
		Quarantined: len(r.gate.Quarantined()),
	}
}

func convertRejections(rejections []spread.Rejection) []Rejected {
	out := make([]Rejected, 0, len(rejections))
	for _, r := range rejections {
		out = append(out, Rejected{Version: r.Version.String(), Reason: r.Reason})
	}
	return out
}
