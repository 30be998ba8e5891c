package config

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// Patterns that names in a document must match.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
)

// checker validates a decoded document before defaults are applied.
type checker struct {
	document *Document
	merged   *node
	// complete is false if a file could not be parsed and is missing from merged.
	// Missing values are then not reported, since that file may set them.
	complete bool
	// mistyped holds the pointers of values that decode rejected.
	mistyped map[string]bool
	report   *Report
}

func (c *checker) check() {
	checkEach(c, "/services", c.document.Services, c.checkService)
	checkEach(c, "/routes", c.document.Routes, c.checkRoute)
	c.checkOverlaps()
	checkEach(c, "/callers", c.document.Callers, c.checkCaller)
	checkEach(c, "/dataCentres", c.document.DataCentres, c.checkDataCentre)
	checkEach(c, "/hosts", c.document.Hosts, c.checkHost)
}

// checkEach runs check on each correctly typed element, in order of the names.
func checkEach[K ~string, V any](c *checker, pointer string, elements map[K]V, check func(pointer, name string, element V)) {
	for _, name := range sortedKeys(elements) {
		elementPointer := joinPointer(pointer, string(name))
		if c.hasValidType(elementPointer) {
			check(elementPointer, string(name), elements[name])
		}
	}
}

func (c *checker) checkCaller(pointer, name string, caller Caller) {
	c.checkName(pointer, name)
	c.checkRange(joinPointer(pointer, "weight"), caller.Weight, 1, MaxCallerWeight)
}

// checkHost checks only the syntax of a host's name: the list of existing hosts
// belongs to the platform.
func (c *checker) checkHost(pointer, name string, _ HostMark) {
	if !hostIDPattern.MatchString(name) {
		c.add(pointer, "bad host name", "use the name in the platform's host list: letters, digits, '.', '_', ':' and '-', at most 128")
	}
}

func (c *checker) checkDataCentre(pointer, name string, d DataCentre) {
	c.checkName(pointer, name)
	region := joinPointer(pointer, "region")
	hint := "state the region; if this is a mark, look for a misspelt data centre"
	if c.required(region, hint) && c.hasValidType(region) {
		c.checkName(region, string(d.Region))
	}
}

// add reports a problem of the value at the pointer. It names the file that set,
// created or removed the value; if there was never a value, that of the closest parent.
func (c *checker) add(pointer, message, hint string) {
	_, deepest := c.merged.find(pointer)
	c.report.add(Problem{File: deepest.file, Pointer: pointer, Message: message, Hint: hint})
}

// required reports a missing value as a problem. It returns whether the value
// exists, so that its content can be checked.
func (c *checker) required(pointer, hint string) bool {
	if c.merged.has(pointer) {
		return true
	}
	if c.complete {
		c.add(pointer, "required, but "+c.absenceReason(pointer), hint)
	}
	return false
}

// absenceReason explains why there is no value at the pointer.
func (c *checker) absenceReason(pointer string) string {
	if found, _ := c.merged.find(pointer); found != nil && found.kind == kindRemoved {
		return "removed by " + found.file
	}
	return "not set by any file"
}

func (c *checker) checkName(pointer, name string) {
	if !namePattern.MatchString(name) {
		c.add(pointer, fmt.Sprintf("bad name %s", truncate(jsonText(name))),
			"use lower-case letters, digits and '-' inside, at most 63")
	}
}

// checkRange checks the bounds of a value that a file sets. Unset values are
// skipped: they take their defaults.
func (c *checker) checkRange(pointer string, value, low, high int) {
	if c.hasValidType(pointer) && (value < low || value > high) {
		c.add(pointer, fmt.Sprintf("%d is not in %d to %d", value, low, high), "")
	}
}

func (c *checker) checkDuration(pointer string, value, low, high Duration) {
	if c.hasValidType(pointer) && (value < low || value > high) {
		c.add(pointer, fmt.Sprintf("%s is not in %s to %s", value.Std(), low.Std(), high.Std()), "")
	}
}

func (c *checker) checkChoice(pointer, value string, choices ...string) {
	if c.hasValidType(pointer) && !slices.Contains(choices, value) {
		c.add(pointer, fmt.Sprintf("unknown value %s", truncate(jsonText(value))), "use one of "+strings.Join(choices, ", "))
	}
}

// hasValidType reports whether a file sets a value of the right type at the
// pointer. Only such values are checked further.
func (c *checker) hasValidType(pointer string) bool {
	return c.merged.has(pointer) && !c.mistyped[pointer]
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
