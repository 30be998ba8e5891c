package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Homes ranks the nodes of a fleet for each workspace, by rendezvous hashing, so that all
// nodes with the same members agree without coordination. It is immutable but for a cache
// and safe for concurrent use.
type Homes struct {
	members []string
	since   time.Time
	// previous holds the earlier members, as far as other nodes may still use them.
	previous *Homes
	// ranks caches the pair of each workspace.
	ranks *sync.Map // map[string]pair
}

// pair is the first and the second node of a workspace.
type pair struct{ first, second string }

// NewHomes returns the ranking of members from a time on. previous is the ranking before,
// or nil.
func NewHomes(members []string, previous *Homes, now time.Time) *Homes {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if previous != nil && slices.Equal(sorted, previous.members) {
		return previous
	}
	return &Homes{members: sorted, since: now, previous: previous.recent(now), ranks: &sync.Map{}}
}

// recent returns h without the members that were replaced long ago.
func (h *Homes) recent(now time.Time) *Homes {
	if h == nil {
		return nil
	}
	kept := *h
	if now.Sub(h.since) > SettleTime {
		kept.previous = nil
	} else {
		kept.previous = h.previous.recent(now)
	}
	return &kept
}

// Rank returns the first and second node of a workspace; empty when there is none.
func (h *Homes) Rank(workspace string) (first, second string) {
	if h == nil {
		return "", ""
	}
	if known, ok := h.ranks.Load(workspace); ok {
		p := known.(pair)
		return p.first, p.second
	}
	var p pair
	var highest, next uint64
	for _, m := range h.members {
		hash := xxhash.Sum64String(m + "\x00" + workspace)
		switch {
		case p.first == "" || hash > highest:
			p, highest, next = pair{first: m, second: p.first}, hash, highest
		case p.second == "" || hash > next:
			p.second, next = m, hash
		}
	}
	h.ranks.Store(workspace, p)
	return p.first, p.second
}

// FirstSince returns the time since which a node has ranked first for a workspace, and
// false if it does not.
func (h *Homes) FirstSince(workspace, member string) (time.Time, bool) {
	var since time.Time
	found := false
	for at := h; at != nil; at = at.previous {
		if first, _ := at.Rank(workspace); first != member {
			break
		}
		since, found = at.since, true
	}
	return since, found
}
