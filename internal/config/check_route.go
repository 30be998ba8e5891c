package config

import (
	"fmt"
	"net/http"
	"net/textproto"
	"path"
	"regexp"
	"slices"
	"strings"
)

var (
	hostNamePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	pathPattern        = regexp.MustCompile(`^/[!-~]*$`)
	headerNamePattern  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	headerValuePattern = regexp.MustCompile(`^[!-~]([ -~]*[!-~])?$`)
)

// pathForbidden holds what a request's decoded path can't hold, or what one
// path could spell in two ways.
const pathForbidden = `?#%\`

func routableMethods() []string {
	return []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
}

func (c *checker) checkRoute(at, name string, r Route) {
	c.checkName(at, name)
	c.checkRouteService(join(at, "service"), r.Service)
	if c.required(join(at, "match"), "state which requests the route takes") {
		c.checkMatch(join(at, "match"), r.Match)
	}
	c.checkDuration(join(at, "timeout"), r.Timeout, Duration(MinTimeout), Duration(MaxTimeout))
	c.checkChoice(join(at, "priority"), string(r.Priority),
		string(PriorityHigh), string(PriorityNormal), string(PriorityLow))
	c.checkChoice(join(at, "key"), string(r.Key),
		string(KeyOptional), string(KeyRequired), string(KeyTimed), string(KeyDigest))
	if r.Idempotent && r.Key != "" && r.Key != KeyOptional {
		c.add(join(at, "key"), fmt.Sprintf("the route is idempotent, so key %q has no effect", r.Key),
			"remove key or idempotent")
	}
	if r.Retries != nil {
		c.checkRange(join(at, "retries"), *r.Retries, 0, MaxRetries)
	}
}

func (c *checker) checkRouteService(at, service string) {
	if !c.required(at, "name one of the services") || !c.fits(at) {
		return
	}
	target := join("/services", service)
	if c.merged.has(target) || !c.whole {
		return
	}
	c.add(at, fmt.Sprintf("service %s is %s", shorten(jsonText(service)), c.absence(target)),
		"known services: "+shorten(strings.Join(sortedKeys(c.document.Services), ", ")))
}

func (c *checker) checkMatch(at string, m Match) {
	if !c.fits(at) {
		return
	}
	c.checkMethods(join(at, "methods"), m.Methods)
	if hostAt := join(at, "host"); c.fits(hostAt) && !hostNamePattern.MatchString(m.Host) {
		c.add(hostAt, fmt.Sprintf("bad host name %s", shorten(jsonText(m.Host))), "use lower case and no port")
	}
	c.checkPaths(at, m)
	headers := join(at, "headers")
	for _, name := range sortedKeys(m.Headers) {
		c.checkHeader(join(headers, name), name, m.Headers[name])
	}
}

func (c *checker) checkMethods(at string, methods []string) {
	for i, method := range methods {
		item := join(at, fmt.Sprint(i))
		c.checkChoice(item, method, routableMethods()...)
		if slices.Contains(methods[:i], method) {
			c.add(item, fmt.Sprintf("%s stands twice", shorten(jsonText(method))), "")
		}
	}
}

func (c *checker) checkPaths(at string, m Match) {
	exact, prefix := join(at, "path"), join(at, "pathPrefix")
	switch {
	case c.merged.has(exact) && c.merged.has(prefix):
		c.add(prefix, "path and pathPrefix are both set", "keep one; a later file removes the other by null")
	case c.merged.has(exact):
		c.checkPath(exact, m.Path, cleanPath(m.Path))
	case c.merged.has(prefix):
		c.checkPath(prefix, m.PathPrefix, path.Clean(m.PathPrefix))
	case c.whole:
		c.add(at, "neither path nor pathPrefix is set", `to take all paths, use "pathPrefix": "/"`)
	}
}

// checkPath checks a path whose one right spelling is clean.
func (c *checker) checkPath(at, text, clean string) {
	if !c.fits(at) {
		return
	}
	switch {
	case len(text) > MaxPathBytes:
		c.add(at, fmt.Sprintf("%d bytes, over the limit of %d", len(text), MaxPathBytes), "")
	case !pathPattern.MatchString(text) || strings.ContainsAny(text, pathForbidden):
		c.add(at, fmt.Sprintf("bad path %s", shorten(jsonText(text))),
			"start with /, in printable ASCII without spaces, ?, #, % or \\")
	case text != clean:
		c.add(at, fmt.Sprintf("%s is not in its shortest form", shorten(jsonText(text))),
			fmt.Sprintf("write %s; a prefix takes that path and all below it", shorten(jsonText(clean))))
	}
}

// cleanPath returns the shortest form of an exact path. A slash at its end
// stays, since a server may tell the two paths apart.
func cleanPath(text string) string {
	clean := path.Clean(text)
	if strings.HasSuffix(text, "/") && clean != "/" {
		return clean + "/"
	}
	return clean
}

func (c *checker) checkHeader(at, name, value string) {
	if !c.fits(at) {
		return
	}
	canonical := textproto.CanonicalMIMEHeaderKey(name)
	switch {
	case !headerNamePattern.MatchString(name):
		c.add(at, "bad header name", "")
	case canonical == "Host":
		c.add(at, "Host is not matched as a header", "use match.host")
	case canonical != name:
		c.add(at, "the header name is not in canonical form", "write "+canonical)
	case !headerValuePattern.MatchString(value):
		c.add(at, fmt.Sprintf("bad header value %s", shorten(jsonText(value))), "use printable ASCII, with no space at the ends")
	}
}

// checkOverlaps reports pairs of routes that take the same request with
// nothing to choose between them: same host, path and headers, and a method in
// common, or no methods in both.
func (c *checker) checkOverlaps() {
	seen := map[string][]string{}
	for _, name := range sortedKeys(c.document.Routes) {
		at, match := join("/routes", name, "match"), c.document.Routes[name].Match
		if match.Path == "" && match.PathPrefix == "" || c.mistyped[join(at, "methods")] {
			continue
		}
		key := matchKey(match)
		i := slices.IndexFunc(seen[key], func(other string) bool {
			return overlap(match.Methods, c.document.Routes[other].Match.Methods)
		})
		if i < 0 {
			seen[key] = append(seen[key], name)
			continue
		}
		c.add(at, fmt.Sprintf("takes the same requests as route %q", seen[key][i]),
			"two routes with the same host, path and headers need different methods")
	}
}

// matchKey returns text that is equal for two matches that differ at most in
// their methods.
func matchKey(m Match) string {
	parts := []string{m.Host, m.Path, m.PathPrefix}
	for _, name := range sortedKeys(m.Headers) {
		parts = append(parts, name, m.Headers[name])
	}
	return jsonText(parts)
}

// overlap reports whether two method lists are equally specific and share a
// method. A list is more specific than none.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}
