package routing

import (
	"strings"

	"boragefall/internal/config"
)

// Table is the match table of one configuration snapshot. It is immutable.
//
// If several routes match, this order of precedence applies: a route for the host
// name before one for all hosts; an exact path before a prefix; a longer prefix
// before a shorter one; more headers before fewer; listed methods before all
// methods, and fewer before more; then the smaller route name in byte order.
type Table struct {
	byHost  map[string]*pathIndex
	anyHost *pathIndex
}

// NewTable returns the match table of a validated document.
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

// Match returns the route that a request matches, or false if there is none.
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
