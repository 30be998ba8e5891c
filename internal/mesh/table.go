package mesh

import (
	"net"
	"slices"
	"strings"
)

// RouteTable maps a host name and path to a route. It is immutable.
type RouteTable struct {
	byHost map[string][]*Route // sorted by prefix, longest first
}

// NewRouteTable builds the route table of a configuration.
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

// Match returns the route of the host with the longest prefix that matches the path.
// The path is in its encoded form, as in the request line. The host may have a port.
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
