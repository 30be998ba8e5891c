package sidecar

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/catalog"
	"boragefall/internal/mesh"
	"boragefall/internal/quota"
	"boragefall/internal/wire"
)

// quotaLedger keeps the quotas of which this node is the home or the second node. It is
// safe for concurrent use.
type quotaLedger struct {
	self     string
	linkPort string
	// workspace returns a workspace of the configuration in force, or nil.
	workspace func(name string) *mesh.Workspace
	// stopping reports that this node grants nothing any more.
	stopping *atomic.Bool
	homes    atomic.Pointer[quota.Homes]

	mu       sync.Mutex
	ledger   *quota.Ledger
	prunedAt time.Time
}

// ledgerIdleTime is how long a workspace is kept that no node asks for. A bucket that was
// not used for that long is full.
const ledgerIdleTime = time.Minute

func newQuotaLedger(self, linkPort string, t quota.Tolerance, workspace func(string) *mesh.Workspace, stopping *atomic.Bool) *quotaLedger {
	return &quotaLedger{self: self, linkPort: linkPort, workspace: workspace, stopping: stopping, ledger: quota.NewLedger(t)}
}

// update applies a new view of the mesh. The nodes beside servers that leave keep no
// quotas, since they end soon, nor do those beside servers that ended and that a restored
// store lists again.
func (l *quotaLedger) update(v *catalog.View) {
	var addresses []string
	for _, server := range v.Servers {
		if server.State == mesh.ServerReady && !server.Withheld {
			addresses = append(addresses, net.JoinHostPort(server.IP(), l.linkPort))
		}
	}
	l.homes.Store(quota.NewHomes(addresses, l.homes.Load(), time.Now()))
}

// rank returns the first and the second node of a workspace.
func (l *quotaLedger) rank(workspace string) (first, second string) {
	return l.homes.Load().Rank(workspace)
}

// answer answers a request for credits.
func (l *quotaLedger) answer(m *wire.CreditRequest) *wire.CreditAnswer {
	w := l.workspace(m.GetWorkspace())
	if w == nil || l.stopping.Load() {
		return &wire.CreditAnswer{Declined: true}
	}
	if !w.Quota.Limited() {
		// The asking node knows another version of the configuration, with a limit.
		return &wire.CreditAnswer{Granted: m.GetWanted()}
	}
	now := time.Now()
	r := quota.Request{Workspace: w.Name, Quota: w.Quota, Wanted: int(m.GetWanted()), Role: quota.Role(m.GetRole())}
	if r.Role == quota.RoleHome {
		since, first := l.homes.Load().FirstSince(w.Name, l.self)
		if !first {
			since = now // the asking node knows other servers than this one
		}
		r.HomeSince = since
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.prunedAt) > ledgerIdleTime {
		l.ledger.Forget(now.Add(-ledgerIdleTime))
		l.prunedAt = now
	}
	grant := l.ledger.Grant(r, now)
	return &wire.CreditAnswer{Granted: uint32(grant.Credits), WaitMillis: millisRoundedUp(grant.RetryIn)}
}
