// Package processes tests real node processes that are killed, stopped and
// started while callers send keyed requests again and again.
package processes
