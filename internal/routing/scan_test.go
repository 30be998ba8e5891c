package routing

import (
	"slices"
	"strings"

	"boragefall/internal/config"
)

// linearMatch implements the order of precedence as a linear search.
func linearMatch(routes map[string]config.Route, r MatchRequest) string {
	best, bestRank := "", []int(nil)
	for name, route := range routes {
		m := route.Match
		if !routeMatches(m, r) {
			continue
		}
		methods := len(m.Methods)
		if methods == 0 {
			methods = 100
		}
		rank := []int{-len(m.Host), -len(m.Path), -len(strings.TrimRight(m.PathPrefix, "/")), -len(m.Headers), methods}
		if m.Path != "" {
			rank[1] = -1
		}
		if c := slices.Compare(rank, bestRank); best == "" || c < 0 || c == 0 && name < best {
			best, bestRank = name, rank
		}
	}
	return best
}

func routeMatches(m config.Match, r MatchRequest) bool {
	prefix := strings.TrimRight(m.PathPrefix, "/")
	atSegment := r.Path == prefix || strings.HasPrefix(r.Path, prefix+"/")
	for name, value := range m.Headers {
		if r.Header(name) != value {
			return false
		}
	}
	return (m.Host == "" || m.Host == r.Host) &&
		(len(m.Methods) == 0 || slices.Contains(m.Methods, r.Method)) &&
		(m.Path == r.Path || m.Path == "" && atSegment)
}
