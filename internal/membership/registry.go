// Package membership knows which hosts live, leave or are suspect: it joins the
// platform's lagging host list, the marks of the configuration, the records
// that hosts spread about themselves and what this node saw itself.
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

// Registry keeps the membership. It is safe for concurrent use; View takes no
// lock.
type Registry struct {
	cfg      Config
	self     host.ID
	contacts contacts
	view     atomic.Pointer[View]

	mu          sync.Mutex
	records     *records
	rumours     map[host.ID]struct{} // records with copies left
	list        *host.List
	listChanged time.Time
	document    *config.Document // marks of the configuration in force
	lastRepair  time.Time
	dirty       bool // records changed since the view was built

	notifying sync.Mutex
	notified  *View
	listeners []ViewListener
}

// NewRegistry returns the registry of a node whose first record is own.
func NewRegistry(cfg Config, own host.Record, now time.Time, listeners ...ViewListener) *Registry {
	r := &Registry{
		cfg:        cfg.withDefaults(),
		self:       own.ID,
		contacts:   contacts{start: now},
		records:    newRecords(),
		rumours:    map[host.ID]struct{}{},
		listeners:  listeners,
		lastRepair: now,
	}
	r.view.Store(newView(nil, 0))
	r.put(own, now)
	r.rebuild(now)
	return r
}

// View returns the present view.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Own returns this host's record.
func (r *Registry) Own() host.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.byHost[r.self].record
}

// UpdateOwn changes this host's record. An update that changes nothing spreads
// nothing.
func (r *Registry) UpdateOwn(now time.Time, state host.State, capacity uint32, quarantine []uint64) {
	r.change(now, func() bool {
		own := r.records.byHost[r.self].record
		if own.State == state && own.Capacity == capacity && slices.Equal(own.Quarantine, quarantine) {
			return false
		}
		own.State, own.Capacity = state, capacity
		own.Quarantine = slices.Clone(quarantine[:min(len(quarantine), maxQuarantine)])
		own.Sequence++
		return r.put(own, now)
	})
}

// ApplyHostList takes a new host list.
func (r *Registry) ApplyHostList(now time.Time, list *host.List) {
	r.change(now, func() bool {
		r.list = list
		r.listChanged = now
		r.records.relist(r.listed, now)
		r.contacts.keep(func(id host.ID) bool { return r.listed(id) || r.hasUnlisted(id) })
		return true
	})
}

// hasUnlisted reports whether there is a record of a host that the list does
// not name.
func (r *Registry) hasUnlisted(id host.ID) bool {
	e, ok := r.records.byHost[id]
	return ok && !e.listed
}

// ApplyConfig takes the marks of a new configuration.
func (r *Registry) ApplyConfig(now time.Time, snapshot *config.Snapshot) {
	r.change(now, func() bool {
		r.document = snapshot.Document
		return true
	})
}

// ObserveContact notes that a host answered this node.
func (r *Registry) ObserveContact(id host.ID, now time.Time) {
	if r.contacts.good(id, now) {
		r.change(now, func() bool { return true })
		return
	}
	if _, member := r.View().Find(id); !member {
		r.change(now, func() bool { return r.hasUnlisted(id) })
	}
}

// ObserveFailure notes that this node failed to reach a host.
func (r *Registry) ObserveFailure(id host.ID, now time.Time) {
	if r.contacts.failed(id, now) {
		r.change(now, func() bool { return true })
	}
}

// Paused drops what this node saw itself, since it is old after a pause.
func (r *Registry) Paused(now time.Time) {
	r.change(now, func() bool {
		r.contacts.clear()
		return true
	})
}

// Tick expires what is over and builds the view of the records that changed.
// It is called a few times a second.
func (r *Registry) Tick(now time.Time) {
	r.change(now, func() bool {
		changed := r.dirty || r.contacts.expire(now, r.cfg.SuspectFor)
		if r.list != nil {
			for _, id := range r.records.expire(now, r.cfg.UnlistedFor, r.self) {
				delete(r.rumours, id)
				r.contacts.forget(id)
				changed = true
			}
		}
		return changed || r.lapsed(now)
	})
}

// change runs do under the lock, builds a new view when it reports true and
// tells the listeners of a view that is new to them.
func (r *Registry) change(now time.Time, do func() bool) {
	r.mu.Lock()
	if do() {
		r.rebuild(now)
	}
	r.mu.Unlock()
	r.notify()
}

func (r *Registry) notify() {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	view := r.view.Load()
	if view == r.notified {
		return
	}
	r.notified = view
	for _, l := range r.listeners {
		l.ViewChanged(view)
	}
}

// merge takes records that a peer sent. A change of a leaving mark stands in
// the view at once, other changes at the next tick. Listeners hear of both at
// the next tick: gossip runs under its caller's lock, which a listener may want.
func (r *Registry) merge(now time.Time, received []*wire.HostRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	urgent := false
	for _, w := range received {
		if record, ok := recordFromWire(w); ok {
			urgent = r.mergeOne(record, now) || urgent
		}
	}
	if urgent {
		r.rebuild(now)
	}
}

// mergeOne reports whether the record changes its host's leaving mark.
func (r *Registry) mergeOne(record host.Record, now time.Time) bool {
	if record.ID == r.self {
		r.outdo(record, now)
		return false
	}
	before := r.records.byHost[record.ID]
	if !r.put(record, now) {
		return false
	}
	r.dirty = true
	left := before != nil && before.record.State == host.StateLeaving
	return left != (record.State == host.StateLeaving)
}

// outdo answers a record of this host that this process did not write, such as
// one of an earlier process whose clock was ahead.
func (r *Registry) outdo(other host.Record, now time.Time) {
	own := r.records.byHost[r.self].record
	if !other.NewerThan(own) {
		return
	}
	own.BootMillis = other.BootMillis + 1
	own.Sequence = 1
	r.put(own, now)
}

// put stores a newer record and lets it be passed on.
func (r *Registry) put(record host.Record, now time.Time) bool {
	copies := r.cfg.RumourCopies
	if record.State == host.StateLeaving {
		copies = r.cfg.LeavingCopies
	}
	if !r.records.put(record, r.listed(record.ID), copies, now) {
		return false
	}
	r.rumours[record.ID] = struct{}{}
	return true
}

// listed reports whether the host list names a host. Without a list all count.
func (r *Registry) listed(id host.ID) bool {
	if r.list == nil {
		return true
	}
	_, ok := r.list.Find(id)
	return ok
}

// lapsed reports whether an unlisted member is usable no more.
func (r *Registry) lapsed(now time.Time) bool {
	for _, m := range r.view.Load().Members {
		if m.Unlisted && !r.usableUnlisted(m.ID, now) {
			return true
		}
	}
	return false
}

// rebuild stores a new view. The lock is held.
func (r *Registry) rebuild(now time.Time) {
	r.dirty = false
	var members []Member
	revision := uint64(0)
	if r.list != nil {
		revision = r.list.Revision
		for _, l := range r.list.Hosts {
			members = append(members, r.member(l, false, now))
		}
	}
	for id, e := range r.records.byHost {
		if r.list != nil && (e.listed || !r.usableUnlisted(id, now)) {
			continue
		}
		rec := e.record
		l := host.Listing{ID: id, Address: rec.Address, Place: rec.Place, Service: rec.Service}
		members = append(members, r.member(l, r.list != nil, now))
	}
	r.view.Store(newView(members, revision))
}

// usableUnlisted reports whether a host that the list does not name answered
// this node after the list changed, and not long ago: the list lags.
func (r *Registry) usableUnlisted(id host.ID, now time.Time) bool {
	return r.contacts.answered(id, now, r.cfg.FirstHandFor, r.listChanged)
}

func (r *Registry) member(l host.Listing, unlisted bool, now time.Time) Member {
	m := Member{Listing: l, Unlisted: unlisted, Suspect: r.contacts.suspect(l.ID, now, r.cfg.SuspectFor)}
	if e, ok := r.records.byHost[l.ID]; ok {
		m.Record = e.record
	}
	m.Leaving = l.Leaving || m.Record.State == host.StateLeaving || r.marked(l.ID, l.Place.DataCentre)
	return m
}

// marked reports whether the configuration takes the host or its data centre
// out.
func (r *Registry) marked(id host.ID, centre datacentre.ID) bool {
	if r.document == nil {
		return false
	}
	return r.document.Hosts[id].Leaving || r.document.DataCentres[centre].Leaving
}
