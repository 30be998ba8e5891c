package routing

import (
	"cmp"
	"net/textproto"
	"slices"

	"boragefall/internal/config"
)

// headerMatch is a header value that a rule requires.
type headerMatch struct {
	name  string
	value string
}

// rule is a route with the conditions that the path index does not check.
type rule struct {
	route   *Route
	methods []string
	headers []headerMatch
}

func newRule(name string, route config.Route) rule {
	r := rule{route: &Route{Name: name, Route: route}, methods: route.Match.Methods}
	for header, value := range route.Match.Headers {
		r.headers = append(r.headers, headerMatch{textproto.CanonicalMIMEHeaderKey(header), value})
	}
	slices.SortFunc(r.headers, func(a, b headerMatch) int { return cmp.Compare(a.name, b.name) })
	return r
}

func (r *rule) matches(request *MatchRequest) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, request.Method) {
		return false
	}
	for i := range r.headers {
		if request.Header == nil || request.Header(r.headers[i].name) != r.headers[i].value {
			return false
		}
	}
	return true
}

// compareRules orders the rules of one path: more headers first, then rules with
// methods before rules for all methods, fewer methods first, then by route name.
func compareRules(a, b rule) int {
	return cmp.Or(
		cmp.Compare(len(b.headers), len(a.headers)),
		cmp.Compare(methodRank(a), methodRank(b)),
		cmp.Compare(a.route.Name, b.route.Name),
	)
}

func methodRank(r rule) int {
	const allMethods = 1 << 16
	if len(r.methods) == 0 {
		return allMethods
	}
	return len(r.methods)
}
