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

	mu      sync.Mutex
	version Version
	// eraStart is the version of the first list or copy of the present era. Items of a
	// later revision were written after the store was restored.
	eraStart Version
	// advanced is closed and replaced when version increases.
	advanced chan struct{}
	items    map[string]Item
	// tombstones counts the deleted items in items. Tombstones up to compacted were
	// discarded.
	tombstones int
	compacted  Version
	// gaps holds the versions of the present era that lists and copies skipped, in order:
	// items that were created and deleted in between left no tombstone.
	gaps   []versionRange
	config *mesh.Config
	// configItem is the item that config was decoded from.
	configItem Item
	routes     *mesh.RouteTable
	servers    map[mesh.ServerID]*Listing
	// leaving holds the servers that stated that they leave, with their start times. It is
	// bounded and outlives their records: a record that expired may be back.
	leaving *simplelru.LRU[mesh.ServerID, int64]
	// endings holds the newest incarnations that were draining, leaving or gone, for records
	// that a restored store brings back.
	endings *simplelru.LRU[mesh.ServerID, ending]
	// suspectUntil holds, for each suspect server, the time at which it is removed.
	suspectUntil map[mesh.ServerID]time.Time
	evacuated    map[string]bool
	// evacuatedUntil holds, for each evacuation that is missing since the store was
	// restored, the time at which it ends.
	evacuatedUntil map[string]time.Time
	// storeUnavailable reports that the store does not respond to this node. Until
	// graceUntil, the end of a record may be an expiry that an outage caused, or a write
	// that was lost when the store was restored.
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
	endings, err := simplelru.NewLRU[mesh.ServerID, ending](maxEndings, nil)
	if err != nil {
		panic(err) // only if maxEndings is not positive
	}
	c := &Catalog{
		leaving:        leaving,
		endings:        endings,
		decoder:        decoder,
		logger:         logger,
		advanced:       make(chan struct{}),
		items:          map[string]Item{},
		compacted:      Version{Revision: 1},
		servers:        map[mesh.ServerID]*Listing{},
		suspectUntil:   map[mesh.ServerID]time.Time{},
		evacuated:      map[string]bool{},
		evacuatedUntil: map[string]time.Time{},
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

// Apply applies events of the store. version is the store's version after them. It reports
// false, and applies nothing, if the events are of another era than the catalog: they
// continue no list of that era.
func (c *Catalog) Apply(events []Item, version Version, now time.Time) bool {
	decoded := c.decode(events)
	c.mu.Lock()
	defer c.mu.Unlock()
	if version.Era != c.version.Era {
		return false
	}
	changed := false
	for _, d := range decoded {
		changed = !c.isOutdated(d.Item, Version{}) && c.applyItem(d, now) || changed
	}
	c.advanceTo(version)
	changed = c.expire(now) || changed
	if changed {
		c.publish()
	}
	return true
}

// Replace applies a complete list of items at a version. Items that are missing from the
// list are deleted unless they changed after that version. It reports false, and applies
// nothing, if the list is of an older era than the catalog.
func (c *Catalog) Replace(items []Item, version Version, now time.Time) bool {
	decoded := c.decode(items)
	c.mu.Lock()
	defer c.mu.Unlock()
	if version.Era < c.version.Era {
		return false
	}
	entered := c.enterEra(version, now)
	c.deleteMissing(keysOf(items), version, entered, now)
	for _, d := range decoded {
		if !c.isOutdated(d.Item, version) {
			c.applyItem(d, now)
		}
	}
	c.skipTo(version)
	c.advanceTo(version)
	c.expire(now)
	c.publish()
	return true
}

// Merge applies the changes of a peer's copy if the peer's version is newer. It reports
// false if the copy says nothing about the present era: it is of an older era, or of a
// newer one and not complete.
func (c *Catalog) Merge(changes Changes, now time.Time) bool {
	items, version := changes.Items, changes.Version
	if known := c.Version(); version.Era == known.Era && !version.IsNewerThan(known) {
		return true
	}
	decoded := c.decode(items)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case version.Era < c.version.Era || version.Era > c.version.Era && !changes.Complete:
		return false
	case !version.IsNewerThan(c.version):
		return true
	}
	entered := c.enterEra(version, now)
	if changes.Complete {
		c.deleteMissing(keysOf(items), version, entered, now)
	}
	for _, d := range decoded {
		c.applyItem(d, now)
	}
	if !changes.Gapless {
		c.skipTo(version)
	}
	c.advanceTo(version)
	c.expire(now)
	c.publish()
	return true
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
	return !ok || item.Version.IsNewerThan(known.Version)
}

func keysOf(items []Item) map[string]bool {
	keys := make(map[string]bool, len(items))
	for _, item := range items {
		keys[item.Key] = true
	}
	return keys
}

// Version returns the store version that the catalog has reached.
func (c *Catalog) Version() Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Await blocks until the catalog is past a version or the context ends.
func (c *Catalog) Await(ctx context.Context, version Version) {
	for {
		c.mu.Lock()
		known, advanced := c.version, c.advanced
		c.mu.Unlock()
		if known.IsNewerThan(version) {
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
	for dataCentre := range c.evacuatedUntil {
		c.evacuatedUntil[dataCentre] = c.graceUntil
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
	c.rememberEnding(server, c.version)
	c.logger.Info().Str("part", "catalog").Str("server", string(server.ID)).Msg("server states that it leaves")
	c.publish()
}

// statedLeaving reports whether an incarnation of a server stated that it leaves.
func (c *Catalog) statedLeaving(server *mesh.Server) bool {
	started, known := c.leaving.Peek(server.ID)
	return known && started == server.StartUnixMillis
}

// ExpireSuspects removes the suspect servers, and ends the evacuations missing from a
// restored store, whose grace period is over. It is meant to be called a few times per
// second.
func (c *Catalog) ExpireSuspects(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expire(now) {
		c.publish()
	}
}

func (c *Catalog) advanceTo(version Version) {
	if !version.IsNewerThan(c.version) {
		return
	}
	c.version = version
	close(c.advanced)
	c.advanced = make(chan struct{})
}

func (c *Catalog) publish() {
	v := &View{
		Version:   c.version,
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
