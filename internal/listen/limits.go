// Package listen bounds what untrusted clients can take from a process: the connections
// of each listener and the memory of request heads. It closes the connections that sit
// longest in an unfinished head first, so that ordinary clients find a place.
package listen

import "golang.org/x/sys/unix"

// Reserves of a process, as divisors of its memory or descriptors.
const (
	// httpMemoryDivisor yields the memory for the connections of all HTTP listeners: 16 MiB
	// of 134 MiB, the smallest hosts, are some 700 connections.
	httpMemoryDivisor = 8
	// headMemoryDivisor yields the memory for the parts of heads that exceed freeHeadBytes:
	// 11 MiB of 134 MiB are 500 heads of 16 KiB at once.
	headMemoryDivisor = 12
	// linkMemoryDivisor yields the memory for links of other nodes: 16 MiB of 134 MiB are
	// some 500 links.
	linkMemoryDivisor = 8
	// streamMemoryDivisor yields the memory for the open streams of all links, and the same
	// for the bytes received on them that are not processed yet.
	streamMemoryDivisor = 12

	httpDescriptorDivisor = 2
	linkDescriptorDivisor = 4

	// connBytes is the memory of an HTTP connection: its goroutine's stack, two buffers of
	// 4 KiB and the state of the connection.
	connBytes = 24 << 10
	// linkBytes is the memory of a link: the stacks of four goroutines and its buffers.
	linkBytes = 32 << 10
	// streamBytes is the memory of a stream: its goroutine's stack, two buffers of 4 KiB, and
	// its state and timers in yamux.
	streamBytes = 24 << 10

	// operatorShare is the divisor of the HTTP connections that yields those of a listener
	// for operators or readiness checks.
	operatorShare = 8
	// maxDescriptors bounds the descriptors that limits are derived from when the settings
	// state none.
	maxDescriptors = 1 << 16
	// minPlaces is the least number of connections, links or streams that a limit permits.
	minPlaces = 16
)

// Resources are what the process may use.
type Resources struct {
	// MemoryMB is the memory in MiB.
	MemoryMB int
	// Descriptors is the number of open descriptors; 0 means the process's own limit.
	Descriptors int
}

// Limits are the limits of a process, derived from its resources.
type Limits struct {
	// Callers and Operators are the connections of the callers' listener, and of each
	// listener for operators or readiness checks.
	Callers, Operators int
	// HeadBytes is the memory of the heads that are being received or served, without the
	// part of each that its connection accounts for.
	HeadBytes int64
	// Links is the number of incoming links, Streams that of their open streams, and
	// StreamBytes what was received on them and not processed.
	Links, Streams int
	StreamBytes    int64
}

// LimitsOf derives the limits.
func LimitsOf(r Resources) Limits {
	memory := int64(r.MemoryMB) << 20
	descriptors := int64(r.Descriptors)
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	conns := max(min(memory/httpMemoryDivisor/connBytes, descriptors/httpDescriptorDivisor), minPlaces)
	operators := max(conns/operatorShare, minPlaces)
	return Limits{
		Callers: int(max(conns-2*operators, minPlaces)), Operators: int(operators),
		HeadBytes:   memory / headMemoryDivisor,
		Links:       int(max(min(memory/linkMemoryDivisor/linkBytes, descriptors/linkDescriptorDivisor), minPlaces)),
		Streams:     int(max(memory/streamMemoryDivisor/streamBytes, minPlaces)),
		StreamBytes: memory / streamMemoryDivisor,
	}
}

// processDescriptors returns the process's limit on open descriptors.
func processDescriptors() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors // the memory bounds the connections then
	}
	return int64(min(limit.Cur, maxDescriptors))
}
