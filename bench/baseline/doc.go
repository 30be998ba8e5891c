// Package baseline holds plain variants to compare with: a client-side router
// with random choice, a time-based slow start and one blind retry, and a
// reader that polls the configuration source.
package baseline
