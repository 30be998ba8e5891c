package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/contract"
	"boragefall/internal/control"
	"boragefall/internal/host"
	"boragefall/internal/ownership"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

// heartbeatInterval is the interval of heartbeats to each host of the service. A
// lease outlasts the loss of three consecutive heartbeats.
const heartbeatInterval = time.Second

// crashReporter is the part of the gate that shares fingerprints of requests that crash
// servers with the gates of the other hosts of the service.
type crashReporter interface {
	Crashes() <-chan struct{}
	Suspects() []uint64
	Quarantined() []uint64
	AddSuspect(fingerprint uint64, now time.Time)
	AddQuarantined(fingerprint uint64, now time.Time)
}

// maxHeartbeatFingerprints bounds each list of fingerprints in a heartbeat.
const maxHeartbeatFingerprints = 64

// owner maintains this host's ownership of keys: it passes the host list and heartbeats
// to the ownership state machine.
type owner struct {
	self    host.Listing
	machine *ownership.StateMachine
	client  *control.Client
	gate    crashReporter
	hosts   atomic.Pointer[[]host.ID] // hosts of the service in the host list

	mu        sync.Mutex
	addresses map[host.ID]string // of hosts in the list and of peers recently removed from it
}

func newOwner(self host.Listing, boot time.Time, client *control.Client, gate crashReporter) *owner {
	o := &owner{
		self:      self,
		machine:   ownership.New(ownership.Config{}, self.ID, boot),
		client:    client,
		gate:      gate,
		addresses: map[host.ID]string{},
	}
	o.hosts.Store(&[]host.ID{})
	return o
}

// MayRun returns nil if this host may run requests with the key now.
func (o *owner) MayRun(claim ownership.Claim, now time.Time) *verdict.Error {
	return o.machine.MayRun(claim, now)
}

// Refusal weakens a refusal if this host no longer owns the key.
func (o *owner) Refusal(claim ownership.Claim, refusal *verdict.Error, now time.Time) *verdict.Error {
	return o.machine.Refusal(claim, refusal, now)
}

// LastRank reports whether an entry node would try no further host: all other hosts
// have fenced the key, or it has collected the maximum number of fences.
func (o *owner) LastRank(claim ownership.Claim) bool {
	if len(claim.FencedHosts) >= contract.MaxFences {
		return true
	}
	for _, id := range *o.hosts.Load() {
		if id != o.self.ID && !slices.Contains(claim.FencedHosts, id) {
			return false
		}
	}
	return true
}

func (o *owner) setHostList(list *host.List, now time.Time) {
	listings := list.ForService(o.self.Service)
	ids := make([]host.ID, 0, len(listings))
	o.mu.Lock()
	for _, l := range listings {
		ids = append(ids, l.ID)
		o.addresses[l.ID] = l.Address
	}
	o.mu.Unlock()
	o.hosts.Store(&ids)
	o.machine.SetView(ownership.View{Revision: list.Revision, Hosts: ids}, now)
}

// run sends heartbeats until the context is done: one per second, and one immediately
// after a crash, so that the other gates know the suspects before a caller's
// retry reaches them.
func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	o.sendHeartbeats(ctx, nil, nil)
	for {
		select {
		case <-ticker.C:
			o.sendHeartbeats(ctx, nil, nil)
		case <-o.gate.Crashes():
			o.sendHeartbeats(ctx, o.gate.Suspects(), o.gate.Quarantined())
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeats sends a heartbeat to every peer. It also advances the state machine, which
// a host without peers relies on.
func (o *owner) sendHeartbeats(ctx context.Context, suspects, quarantined []uint64) {
	o.machine.Heartbeat(time.Now())
	for _, address := range o.targets() {
		go o.exchangeHeartbeat(ctx, address, suspects, quarantined)
	}
}

// targets returns the addresses of the peers and deletes those of hosts that
// are neither peers nor in the host list.
func (o *owner) targets() []string {
	peers := o.machine.Peers()
	listed := *o.hosts.Load()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.addresses {
		if !slices.Contains(peers, id) && !slices.Contains(listed, id) {
			delete(o.addresses, id)
		}
	}
	targets := make([]string, 0, len(peers))
	for _, id := range peers {
		if address, ok := o.addresses[id]; ok {
			targets = append(targets, address)
		}
	}
	return targets
}

// exchangeHeartbeat exchanges heartbeats with one peer. The reply may be delayed, so it is
// valid from the time when its request was sent.
func (o *owner) exchangeHeartbeat(ctx context.Context, address string, suspects, quarantined []uint64) {
	sent := time.Now()
	message := o.heartbeat(sent)
	message.Suspects = suspects[:min(len(suspects), maxHeartbeatFingerprints)]
	message.Convicted = quarantined[:min(len(quarantined), maxHeartbeatFingerprints)]
	reply, err := o.client.Heartbeat(ctx, address, message)
	if err != nil || reply.GetService() != o.self.Service {
		return
	}
	o.machine.HeartbeatReceived(ownership.Heartbeat{
		Host:         host.ID(reply.GetHost()),
		Boot:         reply.GetBootMillis(),
		ViewRevision: reply.GetHostListRevision(),
		ViewHash:     reply.GetViewHash(),
		SetSince:     reply.GetViewFirst(),
		Floor:        reply.GetFloor(),
		HasFloor:     reply.GetSettled(),
	}, sent, time.Now())
}

func (o *owner) heartbeat(now time.Time) *wire.Heartbeat {
	h := o.machine.Heartbeat(now)
	return &wire.Heartbeat{
		Host:             string(h.Host),
		BootMillis:       h.Boot,
		HostListRevision: h.ViewRevision,
		ViewHash:         h.ViewHash,
		ViewFirst:        h.SetSince,
		Floor:            h.Floor,
		Settled:          h.HasFloor,
		Service:          o.self.Service,
	}
}

// HandleHeartbeat answers a peer's heartbeat and passes the fingerprints of requests that
// crash servers to the gate.
func (o *owner) HandleHeartbeat(m *wire.Heartbeat) *wire.Heartbeat {
	now := time.Now()
	if m.GetService() == o.self.Service {
		for _, fingerprint := range m.GetConvicted() {
			o.gate.AddQuarantined(fingerprint, now)
		}
		for _, fingerprint := range m.GetSuspects() {
			o.gate.AddSuspect(fingerprint, now)
		}
	}
	return o.heartbeat(now)
}
