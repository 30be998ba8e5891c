package mesh

import (
	"net"
	"slices"
	"strings"
)

// RouteTable finds the route of a request. It is immutable.
type RouteTable struct {
	byHost map[string][]*Route // longest prefix first
}

// NewRouteTable returns the table of a configuration.
func NewRouteTable(c *Config) *RouteTable {
	t := &RouteTable{byHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route with the longest prefix of the path among those of
// the host. The path is the one in the request line, still encoded.
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
