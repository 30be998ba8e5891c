package catalog

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/phuslu/log"

	"boragefall/internal/mesh"
)

// ReregistrationGrace is the time after the recovery of the store within which a server
// whose record expired during the outage has to register again. The platform specifies
// two seconds; the rest covers the propagation of the event to this node.
const ReregistrationGrace = 2500 * time.Millisecond

// maxTombstones limits the tombstones that are kept for peers that request changes.
// Peers that would need a discarded tombstone receive all items.
const maxTombstones = 256

// maxGaps limits the gaps in the revisions of which the catalog knows all deletions. Peers
// at a revision before a discarded gap receive all items.
const maxGaps = 128

// maxLeaving limits the servers that are remembered as leaving.
const maxLeaving = 4096

// maxLoggedDefects limits the log lines about one configuration; the first line has
// the number of all defects.
const maxLoggedDefects = 16

// Catalog is a node's replica of the store. It is safe for concurrent use.
type Catalog struct {
	decoder Decoder
	logger  *log.Logger
	view    atomic.Pointer[View]

	mu       sync.Mutex
	revision uint64
	// advanced is closed and replaced when revision increases.
	advanced chan struct{}
	items    map[string]Item
	// tombstones counts the deleted items in items. Tombstones up to
	// compactedRevision were discarded.
	tombstones        int
	compactedRevision uint64
	// gaps holds the revisions that lists and copies skipped, in order: items that were
	// created and deleted in between left no tombstone.
	gaps    []revisionRange
	config  *mesh.Config
	routes  *mesh.RouteTable
	servers map[mesh.ServerID]*Listing
	// leaving holds the servers that stated that they leave, with their start times. It is
	// bounded and outlives their records: a record that expired may be back.
	leaving *simplelru.LRU[mesh.ServerID, int64]
	// suspectUntil holds, for each suspect server, the time at which it is removed.
	suspectUntil map[mesh.ServerID]time.Time
	evacuated    map[string]bool
	// storeUnavailable reports that the store does not respond to this node. Until
	// graceUntil, the end of a record may be an expiry that an outage caused.
	storeUnavailable bool
	graceUntil       time.Time
	listeners        []func(*View)
}

// New returns an empty catalog.
func New(decoder Decoder, logger *log.Logger) *Catalog {
	leaving, err := simplelru.NewLRU[mesh.ServerID, int64](maxLeaving, nil)
	if err != nil {
		panic(err) // only if maxLeaving is not positive
	}
	c := &Catalog{
		leaving:           leaving,
		decoder:           decoder,
		logger:            logger,
		advanced:          make(chan struct{}),
		items:             map[string]Item{},
		compactedRevision: 1,
		servers:           map[mesh.ServerID]*Listing{},
		suspectUntil:      map[mesh.ServerID]time.Time{},
		evacuated:         map[string]bool{},
	}
	c.publish()
	return c
}

// View returns the latest view.
func (c *Catalog) View() *View {
	return c.view.Load()
}

// OnChange registers a listener and calls it with the current view. The listener is
// called with each new view, in order, while the catalog's lock is held; it must not
// call the catalog.
func (c *Catalog) OnChange(listener func(*View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, listener)
	listener(c.view.Load())
}

// Apply applies events of the store. revision is the store's revision after them.
func (c *Catalog) Apply(events []Item, revision uint64, now time.Time) {
	decoded := c.decode(events)
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, d := range decoded {
		changed = !c.isOutdated(d.Item, 0) && c.applyItem(d, now) || changed
	}
	c.advanceRevision(revision)
	c.expireSuspects(now)
	if changed {
		c.publish()
	}
}

// Replace applies a complete list of items at a revision. Items that are missing from
// the list are deleted unless they changed after that revision.
func (c *Catalog) Replace(items []Item, revision uint64, now time.Time) {
	decoded := c.decode(items)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deleteMissing(keysOf(items), revision, now)
	for _, d := range decoded {
		if !c.isOutdated(d.Item, revision) {
			c.applyItem(d, now)
		}
	}
	c.skipTo(revision)
	c.advanceRevision(revision)
	c.expireSuspects(now)
	c.publish()
}

// Merge applies the changes of a peer's copy if the peer's revision is newer.
func (c *Catalog) Merge(changes Changes, now time.Time) {
	items, revision := changes.Items, changes.Revision
	if revision <= c.Revision() {
		return
	}
	decoded := c.decode(items)
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return
	}
	if changes.Complete {
		c.deleteMissing(keysOf(items), revision, now)
	}
	for _, d := range decoded {
		c.applyItem(d, now)
	}
	if !changes.Gapless {
		c.skipTo(revision)
	}
	c.advanceRevision(revision)
	c.expireSuspects(now)
	c.publish()
}

// decodedItem is an item with its decoded content.
type decodedItem struct {
	Item
	record Record
	err    error
}

// decode decodes the items that are newer than the catalog's. It does not hold the lock
// meanwhile: a large configuration takes a small host long enough for its followers to
// run into their timeouts.
func (c *Catalog) decode(items []Item) []decodedItem {
	decoded := make([]decodedItem, 0, len(items))
	c.mu.Lock()
	for _, item := range items {
		if c.isNew(item) {
			decoded = append(decoded, decodedItem{Item: item})
		}
	}
	c.mu.Unlock()
	for i := range decoded {
		d := &decoded[i]
		d.record, d.err = c.decoder.Decode(d.Item)
	}
	return decoded
}

// isNew reports whether an item is newer than the catalog's item with the same key.
func (c *Catalog) isNew(item Item) bool {
	known, ok := c.items[item.Key]
	return !ok || item.Revision > known.Revision
}

func keysOf(items []Item) map[string]bool {
	keys := make(map[string]bool, len(items))
	for _, item := range items {
		keys[item.Key] = true
	}
	return keys
}

// ChangesSince returns the items that changed after a revision, and the catalog's
// revision. When it does not hold all deletions since that revision, it returns all
// existing items instead, and complete is true.
func (c *Catalog) ChangesSince(revision uint64) Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := Changes{Complete: c.lacksDeletionsSince(revision), Revision: c.revision}
	changes.Gapless = !changes.Complete &&
		!slices.ContainsFunc(c.gaps, func(gap revisionRange) bool { return gap.before > revision+1 })
	for _, item := range c.items {
		if changes.Complete && !item.Deleted || !changes.Complete && item.Revision > revision {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes
}

// Changes is what changed in a store since a revision.
type Changes struct {
	// Items are the items that changed since; if Complete is set, all that exist.
	Items    []Item
	Complete bool
	// Gapless reports that Items hold all deletions since the revision, also of items that
	// were created after it.
	Gapless bool
	// Revision is the revision of the store after the changes.
	Revision uint64
}

// revisionRange is a range of revisions without its ends.
type revisionRange struct {
	after, before uint64
}

func (r revisionRange) contains(revision uint64) bool {
	return r.after < revision && revision < r.before
}

// lacksDeletionsSince reports whether a replica at a revision may hold items that were
// deleted since and of which the catalog has no tombstone.
func (c *Catalog) lacksDeletionsSince(revision uint64) bool {
	return revision < c.compactedRevision ||
		slices.ContainsFunc(c.gaps, func(gap revisionRange) bool { return gap.contains(revision) })
}

// skipTo records that a list or a copy takes the catalog from its revision to a later one.
func (c *Catalog) skipTo(revision uint64) {
	switch {
	case revision <= c.revision:
		return
	case c.revision < c.compactedRevision:
		c.compactedRevision = max(c.compactedRevision, revision)
		return
	case c.revision+1 == revision:
		return // nothing was skipped
	}
	if len(c.gaps) == maxGaps {
		c.compactedRevision = max(c.compactedRevision, c.gaps[0].before)
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
	c.gaps = append(c.gaps, revisionRange{after: c.revision, before: revision})
}

// isOutdated reports whether an item that the catalog does not have may have been deleted
// since, as the list or event that holds it is older than the catalog. listed is the
// revision of the list, 0 for an event.
func (c *Catalog) isOutdated(item Item, listed uint64) bool {
	if known, ok := c.items[item.Key]; item.Deleted || ok && !known.Deleted {
		return false
	}
	at := max(listed, item.Revision)
	return at < c.revision && c.lacksDeletionsSince(at)
}

// Revision returns the store revision that the catalog has reached.
func (c *Catalog) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Await blocks until the catalog is past a revision or the context ends.
func (c *Catalog) Await(ctx context.Context, revision uint64) {
	for {
		c.mu.Lock()
		known, advanced := c.revision, c.advanced
		c.mu.Unlock()
		if known > revision {
			return
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return
		}
	}
}

// MarkStoreUnavailable records that the store does not respond. Records that end from
// now on may have expired because of the outage.
func (c *Catalog) MarkStoreUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnavailable = true
}

// MarkStoreAvailable records that the store responds. It reports whether the store was
// unavailable before.
func (c *Catalog) MarkStoreAvailable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeUnavailable {
		return false
	}
	c.storeUnavailable = false
	c.graceUntil = now.Add(ReregistrationGrace)
	for id := range c.suspectUntil {
		c.suspectUntil[id] = c.graceUntil
	}
	return true
}

// MarkLeaving records that an incarnation of a server stated that it leaves, which holds
// until the server is started again, whatever the store says. It publishes a view without
// the server before it returns.
func (c *Catalog) MarkLeaving(server *mesh.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if started, known := c.leaving.Get(server.ID); known && started >= server.StartUnixMillis {
		return
	}
	c.leaving.Add(server.ID, server.StartUnixMillis)
	c.logger.Info().Str("part", "catalog").Str("server", string(server.ID)).Msg("server states that it leaves")
	c.publish()
}

// statedLeaving reports whether an incarnation of a server stated that it leaves.
func (c *Catalog) statedLeaving(server *mesh.Server) bool {
	started, known := c.leaving.Peek(server.ID)
	return known && started == server.StartUnixMillis
}

// ExpireSuspects removes the suspect servers whose grace period is over. It is meant to
// be called a few times per second.
func (c *Catalog) ExpireSuspects(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expireSuspects(now) {
		c.publish()
	}
}

func (c *Catalog) advanceRevision(revision uint64) {
	if revision <= c.revision {
		return
	}
	c.revision = revision
	close(c.advanced)
	c.advanced = make(chan struct{})
}

// applyItem applies an item unless the catalog has the same or a newer revision of its
// key. It reports whether the view may have changed.
func (c *Catalog) applyItem(d decodedItem, now time.Time) bool {
	item, record, err := d.Item, d.record, d.err
	if !c.isNew(item) {
		return false
	}
	c.storeItem(item)
	if err != nil {
		c.logger.Warn().Str("part", "catalog").Str("key", item.Key).Uint64("revision", item.Revision).
			Err(err).Msg("store item is invalid")
	}
	switch record.Subject {
	case SubjectConfig:
		c.applyConfig(record.Config, item.Revision)
	case SubjectServer:
		c.applyServer(record, item, err != nil, now)
	case SubjectEvacuation:
		c.applyEvacuation(record.DataCentre, !item.Deleted, item.Revision)
	default:
		return false
	}
	return true
}

// storeItem stores an item, and discards older tombstones when there are too many.
func (c *Catalog) storeItem(item Item) {
	if c.items[item.Key].Deleted {
		c.tombstones--
	}
	c.items[item.Key] = item
	if !item.Deleted {
		return
	}
	c.tombstones++
	if c.tombstones <= maxTombstones {
		return
	}
	for key, old := range c.items {
		if old.Deleted && key != item.Key {
			c.compactedRevision = max(c.compactedRevision, old.Revision)
			delete(c.items, key)
		}
	}
	c.tombstones = 1
}

// applyConfig replaces the configuration. The active configuration stays when the new
// one is invalid or not newer.
func (c *Catalog) applyConfig(config *mesh.Config, revision uint64) {
	if config == nil || c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config, c.routes = config, mesh.NewRouteTable(config)
	c.logger.Info().Str("part", "catalog").Uint64("version", config.Version).Uint64("revision", revision).
		Int("routes", len(config.Routes)).Int("defects", len(config.Defects)).Msg("configuration in force")
	for _, defect := range config.Defects[:min(len(config.Defects), maxLoggedDefects)] {
		c.logger.Warn().Str("part", "catalog").Uint64("version", config.Version).Str("name", defect.Name).
			Str("problem", defect.Problem).Msg("part of the configuration not understood")
	}
}

func (c *Catalog) applyServer(record Record, item Item, malformed bool, now time.Time) {
	id := record.ServerID
	if record.Server == nil {
		c.removeServer(id, item.Revision, malformed, now)
		return
	}
	delete(c.suspectUntil, id)
	listing := &Listing{Server: record.Server, Revision: item.Revision, FirstSeen: now}
	if record.Server.ColdFor > 0 {
		listing.ColdUntil = now.Add(record.Server.ColdFor)
	}
	old := c.servers[id]
	if old != nil && old.SameIncarnation(record.Server) {
		listing.FirstSeen = old.FirstSeen
	}
	c.servers[id] = listing
	if old == nil || old.State != listing.State || !old.SameIncarnation(record.Server) {
		c.logger.Info().Str("part", "catalog").Str("server", string(id)).Str("service", listing.Service).
			Str("address", listing.Address).Bool("draining", listing.State == mesh.ServerDraining).
			Dur("cold_for", record.Server.ColdFor).Uint64("revision", item.Revision).Msg("server registered")
	}
}

// removeServer removes a server, or marks it as suspect when its record may have expired
// only because the store was unavailable.
func (c *Catalog) removeServer(id mesh.ServerID, revision uint64, malformed bool, now time.Time) {
	known, ok := c.servers[id]
	if !ok {
		return
	}
	if !malformed && known.State == mesh.ServerReady && (c.storeUnavailable || now.Before(c.graceUntil)) {
		suspect := *known
		suspect.Suspect, suspect.Revision = true, revision
		c.servers[id] = &suspect
		c.suspectUntil[id] = c.graceUntil
		c.logger.Info().Str("part", "catalog").Str("server", string(id)).Uint64("revision", revision).
			Msg("server suspect: its record ended while the store was away")
		return
	}
	delete(c.servers, id)
	c.logger.Info().Str("part", "catalog").Str("server", string(id)).Uint64("revision", revision).Msg("server gone")
}

func (c *Catalog) applyEvacuation(dataCentre string, on bool, revision uint64) {
	if c.evacuated[dataCentre] == on {
		return
	}
	if on {
		c.evacuated[dataCentre] = true
	} else {
		delete(c.evacuated, dataCentre)
	}
	c.logger.Info().Str("part", "catalog").Str("data_centre", dataCentre).Bool("evacuated", on).
		Uint64("revision", revision).Msg("evacuation changed")
}

// deleteMissing deletes the items that are missing from a complete list.
func (c *Catalog) deleteMissing(listed map[string]bool, revision uint64, now time.Time) {
	for key, item := range c.items {
		if !listed[key] && !item.Deleted && item.Revision <= revision {
			d := decodedItem{Item: Item{Key: key, Revision: max(item.Revision+1, revision), Deleted: true}}
			d.record, d.err = c.decoder.Decode(d.Item) // cheap, since a deleted item has no value
			c.applyItem(d, now)
		}
	}
}

// expireSuspects removes suspect servers whose grace period is over. It reports whether
// it removed any.
func (c *Catalog) expireSuspects(now time.Time) bool {
	if c.storeUnavailable {
		return false
	}
	removed := false
	for id, until := range c.suspectUntil {
		if now.Before(until) {
			continue
		}
		delete(c.suspectUntil, id)
		delete(c.servers, id)
		removed = true
		c.logger.Info().Str("part", "catalog").Str("server", string(id)).Msg("suspect server gone")
	}
	return removed
}

func (c *Catalog) publish() {
	v := &View{
		Revision:  c.revision,
		Config:    c.config,
		Routes:    c.routes,
		Servers:   make(map[mesh.ServerID]*Listing, len(c.servers)),
		Usable:    map[string][]*Listing{},
		Evacuated: make(map[string]bool, len(c.evacuated)),
		byAddress: make(map[string]*Listing, len(c.servers)),
	}
	for dataCentre := range c.evacuated {
		v.Evacuated[dataCentre] = true
	}
	for id, listing := range c.servers {
		if leaving := c.statedLeaving(listing.Server); leaving != listing.Leaving {
			updated := *listing
			updated.Leaving = leaving
			listing = &updated
			c.servers[id] = listing
		}
		v.Servers[id] = listing
		if at := v.byAddress[listing.Address]; at == nil || isNewer(listing, at) {
			v.byAddress[listing.Address] = listing
		}
	}
	for _, listing := range v.Servers {
		if v.isUsable(listing) {
			v.Usable[listing.Service] = append(v.Usable[listing.Service], listing)
		}
	}
	for _, servers := range v.Usable {
		slices.SortFunc(servers, func(a, b *Listing) int { return cmp.Compare(a.ID, b.ID) })
	}
	c.view.Store(v)
	for _, listener := range c.listeners {
		listener(v)
	}
}
