// Package membership tracks which hosts are usable, leaving or suspect. It combines the
// platform's host list, which lags behind, the leaving marks of the configuration, the
// records that hosts gossip about themselves, and this node's own contacts with hosts.
package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// Registry maintains the membership. It is safe for concurrent use; View takes no lock.
type Registry struct {
	cfg      Config
	self     host.ID
	contacts contactTable
	view     atomic.Pointer[View]

	mu            sync.Mutex
	records       *recordTable
	pending       map[host.ID]struct{} // hosts whose records have retransmits left
	hostList      *host.List
	listChangedAt time.Time
	document      *config.Document // current configuration, for its leaving marks
	lastRepairAt  time.Time
	dirty         bool // records changed since the view was built

	notifyMu     sync.Mutex
	lastNotified *View
	listeners    []ViewListener
}

// NewRegistry returns the registry of a node with own as its host's initial record.
func NewRegistry(cfg Config, own host.Record, now time.Time, listeners ...ViewListener) *Registry {
	r := &Registry{
		cfg:          cfg.withDefaults(),
		self:         own.ID,
		contacts:     contactTable{start: now},
		records:      newRecordTable(),
		pending:      map[host.ID]struct{}{},
		listeners:    listeners,
		lastRepairAt: now,
	}
	r.view.Store(newView(nil, 0))
	r.putRecord(own, now)
	r.rebuild(now)
	return r
}

// View returns the current view.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Own returns this host's record.
func (r *Registry) Own() host.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.byHost[r.self].record
}

// UpdateOwn updates this host's record. If nothing changes, the record is not pushed
// again.
func (r *Registry) UpdateOwn(now time.Time, state host.State, capacity uint32, quarantine []uint64) {
	r.update(now, func() bool {
		own := r.records.byHost[r.self].record
		if own.State == state && own.Capacity == capacity && slices.Equal(own.Quarantine, quarantine) {
			return false
		}
		own.State, own.Capacity = state, capacity
		own.Quarantine = slices.Clone(quarantine[:min(len(quarantine), maxQuarantineEntries)])
		own.Sequence++
		return r.putRecord(own, now)
	})
}

// ApplyHostList replaces the host list.
func (r *Registry) ApplyHostList(now time.Time, list *host.List) {
	r.update(now, func() bool {
		r.hostList = list
		r.listChangedAt = now
		r.records.updateListed(r.listed, now)
		r.contacts.retain(func(id host.ID) bool { return r.listed(id) || r.hasUnlistedRecord(id) })
		return true
	})
}

// hasUnlistedRecord reports whether there is a record of the host and the host is missing
// from the host list.
func (r *Registry) hasUnlistedRecord(id host.ID) bool {
	e, ok := r.records.byHost[id]
	return ok && !e.listed
}

// ApplyConfig replaces the leaving marks by those of a new configuration.
func (r *Registry) ApplyConfig(now time.Time, snapshot *config.Snapshot) {
	r.update(now, func() bool {
		r.document = snapshot.Document
		return true
	})
}

// ObserveContact records that a host answered this node.
func (r *Registry) ObserveContact(id host.ID, now time.Time) {
	if r.contacts.recordSuccess(id, now) {
		r.update(now, func() bool { return true })
		return
	}
	if _, member := r.View().Find(id); !member {
		r.update(now, func() bool { return r.hasUnlistedRecord(id) })
	}
}

// ObserveFailure records that this node failed to reach a host.
func (r *Registry) ObserveFailure(id host.ID, now time.Time) {
	if r.contacts.recordFailure(id, now) {
		r.update(now, func() bool { return true })
	}
}

// ResetContacts discards the results of this node's contacts with hosts, which are out of
// date after the process was paused.
func (r *Registry) ResetContacts(now time.Time) {
	r.update(now, func() bool {
		r.contacts.clear()
		return true
	})
}

// Tick expires suspicions and unlisted records, and rebuilds the view if these or merged
// records change it. It is called a few times a second.
func (r *Registry) Tick(now time.Time) {
	r.update(now, func() bool {
		changed := r.dirty || r.contacts.expireSuspicions(now, r.cfg.SuspicionTimeout)
		if r.hostList != nil {
			for _, id := range r.records.expireUnlisted(now, r.cfg.UnlistedRetention, r.self) {
				delete(r.pending, id)
				r.contacts.remove(id)
				changed = true
			}
		}
		return changed || r.unlistedExpired(now)
	})
}

// update calls mutate under the lock and rebuilds the view if it reports true. Then it
// notifies the listeners if the view has changed since their last notification.
func (r *Registry) update(now time.Time, mutate func() bool) {
	r.mu.Lock()
	if mutate() {
		r.rebuild(now)
	}
	r.mu.Unlock()
	r.notifyListeners()
}

func (r *Registry) notifyListeners() {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	view := r.view.Load()
	if view == r.lastNotified {
		return
	}
	r.lastNotified = view
	for _, listener := range r.listeners {
		listener.ViewChanged(view)
	}
}

// mergeRecords merges records that a peer sent. A host that starts or stops leaving changes
// the view at once, other changes do so at the next tick. Listeners are notified of both at
// the next tick or other update, since gossip runs under its caller's lock, which a
// listener may need to acquire.
func (r *Registry) mergeRecords(now time.Time, received []*wire.HostRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rebuildNow := false
	for _, encoded := range received {
		if record, ok := recordFromWire(encoded); ok {
			rebuildNow = r.mergeRecord(record, now) || rebuildNow
		}
	}
	if rebuildNow {
		r.rebuild(now)
	}
}

// mergeRecord merges a record and reports whether it starts or ends the leaving state of
// another host.
func (r *Registry) mergeRecord(record host.Record, now time.Time) bool {
	if record.ID == r.self {
		r.supersede(record, now)
		return false
	}
	previous := r.records.byHost[record.ID]
	if !r.putRecord(record, now) {
		return false
	}
	r.dirty = true
	wasLeaving := previous != nil && previous.record.State == host.StateLeaving
	return wasLeaving != (record.State == host.StateLeaving)
}

// supersede replaces this host's record by a newer version if a peer holds one that this
// process did not write, such as one of an earlier process whose clock was ahead.
func (r *Registry) supersede(conflicting host.Record, now time.Time) {
	own := r.records.byHost[r.self].record
	if !conflicting.NewerThan(own) {
		return
	}
	own.BootMillis = conflicting.BootMillis + 1
	own.Sequence = 1
	r.putRecord(own, now)
}

// putRecord stores a record if it is newer than the known one, schedules it to be pushed
// and reports whether it did.
func (r *Registry) putRecord(record host.Record, now time.Time) bool {
	retransmits := r.cfg.Retransmits
	if record.State == host.StateLeaving {
		retransmits = r.cfg.LeavingRetransmits
	}
	if !r.records.put(record, r.listed(record.ID), retransmits, now) {
		return false
	}
	r.pending[record.ID] = struct{}{}
	return true
}

// listed reports whether the host is in the host list. Before the first host list all
// hosts count as listed.
func (r *Registry) listed(id host.ID) bool {
	if r.hostList == nil {
		return true
	}
	_, ok := r.hostList.Find(id)
	return ok
}

// unlistedExpired reports whether the view holds an unlisted member that is no longer
// usable.
func (r *Registry) unlistedExpired(now time.Time) bool {
	for _, m := range r.view.Load().Members {
		if m.Unlisted && !r.isUsableUnlisted(m.ID, now) {
			return true
		}
	}
	return false
}

// rebuild builds and stores a new view. The caller holds r.mu.
func (r *Registry) rebuild(now time.Time) {
	r.dirty = false
	var members []Member
	revision := uint64(0)
	if r.hostList != nil {
		revision = r.hostList.Revision
		for _, listing := range r.hostList.Hosts {
			members = append(members, r.buildMember(listing, false, now))
		}
	}
	for id, e := range r.records.byHost {
		if r.hostList != nil && (e.listed || !r.isUsableUnlisted(id, now)) {
			continue
		}
		record := e.record
		listing := host.Listing{ID: id, Address: record.Address, Place: record.Place, Service: record.Service}
		members = append(members, r.buildMember(listing, r.hostList != nil, now))
	}
	r.view.Store(newView(members, revision))
}

// isUsableUnlisted reports whether a host that is missing from the host list answered this
// node after the list changed and within UnlistedContactTimeout. Such a host is usable
// because the list lags behind.
func (r *Registry) isUsableUnlisted(id host.ID, now time.Time) bool {
	return r.contacts.succeededWithin(id, now, r.cfg.UnlistedContactTimeout, r.listChangedAt)
}

func (r *Registry) buildMember(listing host.Listing, unlisted bool, now time.Time) Member {
	m := Member{Listing: listing, Unlisted: unlisted, Suspect: r.contacts.isSuspect(listing.ID, now, r.cfg.SuspicionTimeout)}
	if e, ok := r.records.byHost[listing.ID]; ok {
		m.Record = e.record
	}
	m.Leaving = listing.Leaving || m.Record.State == host.StateLeaving || r.markedLeaving(listing.ID, listing.Place.DataCentre)
	return m
}

// markedLeaving reports whether the configuration marks the host or its data centre as
// leaving.
func (r *Registry) markedLeaving(id host.ID, dataCentre datacentre.ID) bool {
	if r.document == nil {
		return false
	}
	return r.document.Hosts[id].Leaving || r.document.DataCentres[dataCentre].Leaving
}
