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

// forbiddenPathChars lists characters that a request's decoded path can't
// contain or that would give one path two spellings.
const forbiddenPathChars = `?#%\`

func routableMethods() []string {
	return []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
}

func (c *checker) checkRoute(pointer, name string, r Route) {
	c.checkName(pointer, name)
	c.checkRouteService(joinPointer(pointer, "service"), r.Service)
	if c.required(joinPointer(pointer, "match"), "set which requests the route matches") {
		c.checkMatch(joinPointer(pointer, "match"), r.Match)
	}
	c.checkDuration(joinPointer(pointer, "timeout"), r.Timeout, Duration(MinTimeout), Duration(MaxTimeout))
	c.checkChoice(joinPointer(pointer, "priority"), string(r.Priority),
		string(PriorityHigh), string(PriorityNormal), string(PriorityLow))
	c.checkChoice(joinPointer(pointer, "key"), string(r.Key),
		string(KeyOptional), string(KeyRequired), string(KeyTimed), string(KeyDigest))
	if r.Idempotent && r.Key != "" && r.Key != KeyOptional {
		c.add(joinPointer(pointer, "key"), fmt.Sprintf("the route is idempotent, so key %q has no effect", r.Key),
			"remove key or idempotent")
	}
	if r.Retries != nil {
		c.checkRange(joinPointer(pointer, "retries"), *r.Retries, 0, MaxRetries)
	}
}

func (c *checker) checkRouteService(pointer, service string) {
	if !c.required(pointer, "name one of the services") || !c.hasValidType(pointer) {
		return
	}
	target := joinPointer("/services", service)
	if c.merged.has(target) || !c.complete {
		return
	}
	c.add(pointer, fmt.Sprintf("service %s is %s", truncate(jsonText(service)), c.absenceReason(target)),
		"known services: "+truncate(strings.Join(sortedKeys(c.document.Services), ", ")))
}

func (c *checker) checkMatch(pointer string, m Match) {
	if !c.hasValidType(pointer) {
		return
	}
	c.checkMethods(joinPointer(pointer, "methods"), m.Methods)
	if hostPointer := joinPointer(pointer, "host"); c.hasValidType(hostPointer) && !hostNamePattern.MatchString(m.Host) {
		c.add(hostPointer, fmt.Sprintf("bad host name %s", truncate(jsonText(m.Host))), "use lower case and no port")
	}
	c.checkPaths(pointer, m)
	headers := joinPointer(pointer, "headers")
	for _, name := range sortedKeys(m.Headers) {
		c.checkHeader(joinPointer(headers, name), name, m.Headers[name])
	}
}

func (c *checker) checkMethods(pointer string, methods []string) {
	for i, method := range methods {
		itemPointer := joinPointer(pointer, fmt.Sprint(i))
		c.checkChoice(itemPointer, method, routableMethods()...)
		if slices.Contains(methods[:i], method) {
			c.add(itemPointer, fmt.Sprintf("%s stands twice", truncate(jsonText(method))), "")
		}
	}
}

func (c *checker) checkPaths(pointer string, m Match) {
	exact, prefix := joinPointer(pointer, "path"), joinPointer(pointer, "pathPrefix")
	switch {
	case c.merged.has(exact) && c.merged.has(prefix):
		c.add(prefix, "path and pathPrefix are both set", "keep one; a later file can remove the other by setting it to null")
	case c.merged.has(exact):
		c.checkPath(exact, m.Path, cleanPath(m.Path))
	case c.merged.has(prefix):
		c.checkPath(prefix, m.PathPrefix, path.Clean(m.PathPrefix))
	case c.complete:
		c.add(pointer, "neither path nor pathPrefix is set", `to take all paths, use "pathPrefix": "/"`)
	}
}

// checkPath checks the syntax of a path and that it equals its canonical form,
// clean.
func (c *checker) checkPath(pointer, text, clean string) {
	if !c.hasValidType(pointer) {
		return
	}
	switch {
	case len(text) > MaxPathBytes:
		c.add(pointer, fmt.Sprintf("%d bytes, over the limit of %d", len(text), MaxPathBytes), "")
	case !pathPattern.MatchString(text) || strings.ContainsAny(text, forbiddenPathChars):
		c.add(pointer, fmt.Sprintf("bad path %s", truncate(jsonText(text))),
			"start with /, in printable ASCII without spaces, ?, #, % or \\")
	case text != clean:
		c.add(pointer, fmt.Sprintf("%s is not in its shortest form", truncate(jsonText(text))),
			fmt.Sprintf("write %s; a prefix matches that path and all paths below it", truncate(jsonText(clean))))
	}
}

// cleanPath returns the shortest form of an exact path. It keeps a trailing
// slash, since a server may treat the path without it as a different one.
func cleanPath(text string) string {
	clean := path.Clean(text)
	if strings.HasSuffix(text, "/") && clean != "/" {
		return clean + "/"
	}
	return clean
}

func (c *checker) checkHeader(pointer, name, value string) {
	if !c.hasValidType(pointer) {
		return
	}
	canonical := textproto.CanonicalMIMEHeaderKey(name)
	switch {
	case !headerNamePattern.MatchString(name):
		c.add(pointer, "bad header name", "")
	case canonical == "Host":
		c.add(pointer, "Host is not matched as a header", "use match.host")
	case canonical != name:
		c.add(pointer, "the header name is not in canonical form", "write "+canonical)
	case !headerValuePattern.MatchString(value):
		c.add(pointer, fmt.Sprintf("bad header value %s", truncate(jsonText(value))), "use printable ASCII, with no space at the ends")
	}
}

// checkOverlaps reports pairs of routes that match the same requests with equal
// precedence: they have the same host, path and headers, and either share a
// method or both list no methods.
func (c *checker) checkOverlaps() {
	routesByKey := map[string][]string{}
	for _, name := range sortedKeys(c.document.Routes) {
		matchPointer, match := joinPointer("/routes", name, "match"), c.document.Routes[name].Match
		if match.Path == "" && match.PathPrefix == "" || c.mistyped[joinPointer(matchPointer, "methods")] {
			continue
		}
		key := matchKey(match)
		i := slices.IndexFunc(routesByKey[key], func(other string) bool {
			return methodsOverlap(match.Methods, c.document.Routes[other].Match.Methods)
		})
		if i < 0 {
			routesByKey[key] = append(routesByKey[key], name)
			continue
		}
		c.add(matchPointer, fmt.Sprintf("takes the same requests as route %q", routesByKey[key][i]),
			"two routes with the same host, path and headers need different methods")
	}
}

// matchKey returns a key of everything in the match but its methods. Matches
// that differ only in their methods have the same key.
func matchKey(m Match) string {
	parts := []string{m.Host, m.Path, m.PathPrefix}
	for _, name := range sortedKeys(m.Headers) {
		parts = append(parts, name, m.Headers[name])
	}
	return jsonText(parts)
}

// methodsOverlap reports whether two method lists have equal precedence and a
// method in common. An empty list matches all methods, with lower precedence
// than any other list.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}
