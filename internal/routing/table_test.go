package routing

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/config"
)

func noHeaders(string) string { return "" }

var _ = Describe("Table", func() {
	match := func(m config.Match) config.Route { return config.Route{Match: m} }
	table := NewTable(&config.Document{Routes: map[string]config.Route{
		"exact":       match(config.Match{Path: "/orders/list"}),
		"short":       match(config.Match{PathPrefix: "/orders"}),
		"long":        match(config.Match{PathPrefix: "/orders/7/"}),
		"long-post":   match(config.Match{PathPrefix: "/orders/7", Methods: []string{"POST"}}),
		"long-header": match(config.Match{PathPrefix: "/orders/7", Headers: map[string]string{"x-team": "a"}}),
		"b-tie":       match(config.Match{Path: "/tie"}),
		"a-tie":       match(config.Match{Path: "/tie"}),
		"hosted":      match(config.Match{Host: "Api.example", PathPrefix: "/"}),
	}})
	team := func(name string) string { return map[string]string{"X-Team": "a"}[name] }

	DescribeTable("returns the most specific route", func(r MatchRequest, want string) {
		route, ok := table.Match(r)
		Expect(ok).To(Equal(want != ""))
		if ok {
			Expect(route.Name).To(Equal(want))
		}
	},
		Entry("exact path before prefix", MatchRequest{Path: "/orders/list"}, "exact"),
		Entry("path equal to the prefix", MatchRequest{Path: "/orders"}, "short"),
		Entry("longer prefix first", MatchRequest{Path: "/orders/7/charge"}, "long"),
		Entry("prefix only at a segment boundary", MatchRequest{Path: "/orders/70"}, "short"),
		Entry("no prefix inside a segment", MatchRequest{Path: "/ordersx"}, ""),
		Entry("method before all methods", MatchRequest{Method: "POST", Path: "/orders/7"}, "long-post"),
		Entry("header before method", MatchRequest{Method: "POST", Path: "/orders/7", Header: team}, "long-header"),
		Entry("route name as the tie-breaker", MatchRequest{Path: "/tie"}, "a-tie"),
		Entry("host before path", MatchRequest{Host: "api.EXAMPLE:8080", Path: "/tie"}, "hosted"),
		Entry("other host", MatchRequest{Host: "[::1]", Path: "/tie"}, "a-tie"),
		Entry("no matching route", MatchRequest{Path: "/"}, ""),
	)
})

// TestMatchAgreesWithLinearSearch compares the index with the documented order of
// precedence applied to each route in turn.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/a/b", "/a", "/", "/ab", "/a/"})
		method := rapid.SampledFrom([]string{"GET", "POST"})
		routes := map[string]config.Route{}
		for i := range rapid.IntRange(0, 20).Draw(t, "routes") {
			m := config.Match{Host: rapid.SampledFrom([]string{"", "h"}).Draw(t, "host")}
			if rapid.Bool().Draw(t, "exact") {
				m.Path = path.Draw(t, "path")
			} else {
				m.PathPrefix = path.Draw(t, "prefix")
			}
			m.Methods = rapid.SliceOfNDistinct(method, 0, 2, rapid.ID).Draw(t, "methods")
			if rapid.Bool().Draw(t, "header") {
				m.Headers = map[string]string{"X-A": "1"}
			}
			routes[fmt.Sprint(i)] = config.Route{Match: m}
		}
		header := rapid.SampledFrom([]string{"", "1"}).Draw(t, "value")
		r := MatchRequest{
			Method: method.Draw(t, "method"), Host: rapid.SampledFrom([]string{"h", "g"}).Draw(t, "asked"),
			Path: path.Draw(t, "wanted"), Header: func(string) string { return header },
		}
		want := linearMatch(routes, r)
		route, ok := NewTable(&config.Document{Routes: routes}).Match(r)
		if ok != (want != "") || ok && route.Name != want {
			t.Fatalf("got %v, want %q", route, want)
		}
	})
}
