// Package hostile runs node processes that untrusted clients connect to: heads over the
// limit or without end, empty lines without end, connections that stall, links that open
// streams and messages which they never finish.
package hostile
