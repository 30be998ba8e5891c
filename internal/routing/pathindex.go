package routing

import (
	"slices"
	"strings"

	"boragefall/internal/config"
)

// pathIndex holds the rules of one host name by path. Prefixes are stored without
// their trailing slash, so the prefix "/" is the empty string.
type pathIndex struct {
	exact  map[string][]rule
	prefix map[string][]rule
}

func newPathIndex() *pathIndex {
	return &pathIndex{exact: map[string][]rule{}, prefix: map[string][]rule{}}
}

func (x *pathIndex) add(r rule, match config.Match) {
	if match.Path != "" {
		x.exact[match.Path] = append(x.exact[match.Path], r)
		return
	}
	prefix := strings.TrimRight(match.PathPrefix, "/")
	x.prefix[prefix] = append(x.prefix[prefix], r)
}

func (x *pathIndex) sort() {
	for _, rules := range x.exact {
		slices.SortFunc(rules, compareRules)
	}
	for _, rules := range x.prefix {
		slices.SortFunc(rules, compareRules)
	}
}

// find looks up the exact path, then each prefix that ends at a segment boundary,
// longest first.
func (x *pathIndex) find(request *MatchRequest) (*Route, bool) {
	if route, ok := firstMatch(x.exact[request.Path], request); ok {
		return route, true
	}
	prefix := request.Path
	for {
		if route, ok := firstMatch(x.prefix[prefix], request); ok {
			return route, true
		}
		end := strings.LastIndexByte(prefix, '/')
		if end < 0 {
			return nil, false
		}
		prefix = prefix[:end]
	}
}

func firstMatch(rules []rule, request *MatchRequest) (*Route, bool) {
	for i := range rules {
		if rules[i].matches(request) {
			return rules[i].route, true
		}
	}
	return nil, false
}
