package routing

import (
	"strings"

	"boragefall/internal/config"
)

// Table is the match table of one configuration snapshot. It is immutable.
//
// Of several routes that match, the first by this order wins: a route that
// names the host before one that takes all hosts; an exact path before a
// prefix; a longer prefix before a shorter; more headers before fewer; named
// methods before all, fewer before more; then the lesser route name in byte
// order.
type Table struct {
	byHost  map[string]*pathIndex
	anyHost *pathIndex
}

// NewTable returns the match table of a checked document.
func NewTable(doc *config.Document) *Table {
	t := &Table{byHost: map[string]*pathIndex{}, anyHost: newPathIndex()}
	if doc == nil {
		return t
	}
	for name, route := range doc.Routes {
		t.index(route.Match.Host).add(newRule(name, route), route.Match)
	}
	t.anyHost.sort()
	for _, x := range t.byHost {
		x.sort()
	}
	return t
}

func (t *Table) index(hostName string) *pathIndex {
	if hostName == "" {
		return t.anyHost
	}
	hostName = strings.ToLower(hostName)
	x := t.byHost[hostName]
	if x == nil {
		x = newPathIndex()
		t.byHost[hostName] = x
	}
	return x
}

// Match returns the route of a request.
func (t *Table) Match(r MatchRequest) (*Route, bool) {
	if len(t.byHost) > 0 {
		if x := t.byHost[r.hostName()]; x != nil {
			if route, ok := x.find(&r); ok {
				return route, true
			}
		}
	}
	return t.anyHost.find(&r)
}
