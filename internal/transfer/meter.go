// Package transfer counts the bytes that a node exchanges with nodes of other data
// centres, by purpose. Such bytes are billed where links between data centres are
// expensive, so operators need to see what causes them.
package transfer

import "sync/atomic"

// Kind is the purpose of transferred bytes.
type Kind uint8

// Kinds of bytes. Hints are the heads of requests and answers, including load reports, and
// the framing of messages, without that of the link and of TCP.
const (
	KindAnswer Kind = iota
	KindBody
	KindCall
	KindHint
	KindState
	kindCount
)

var kindNames = [kindCount]string{"answer", "body", "call", "hint", "state"}

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// String returns the value of the kind's metric label.
func (k Kind) String() string {
	return kindNames[k]
}

// Usage is what one request exchanged with another node, in bytes.
type Usage struct {
	// Total is everything that was sent and received.
	Total int64
	// Body and Answer are the parts of Total that were content of the request's body and
	// of the answer's body.
	Body, Answer int64
	// Nested reports that the request is a call of a running request.
	Nested bool
}

// Meter counts bytes by kind. The zero value is ready to use; it is safe for concurrent
// use.
type Meter struct {
	bytes [kindCount]atomic.Int64
}

// RecordRequest counts a request. Content of nested calls counts as KindCall, all
// content else by its direction, and the rest as KindHint.
func (m *Meter) RecordRequest(u Usage) {
	if u.Nested {
		m.bytes[KindCall].Add(u.Body + u.Answer)
	} else {
		m.bytes[KindBody].Add(u.Body)
		m.bytes[KindAnswer].Add(u.Answer)
	}
	m.bytes[KindHint].Add(max(u.Total-u.Body-u.Answer, 0))
}

// RecordState counts bytes of a peer's copy of the store.
func (m *Meter) RecordState(bytes int64) {
	m.bytes[KindState].Add(bytes)
}

// Bytes returns the number of bytes of a kind.
func (m *Meter) Bytes(k Kind) int64 {
	return m.bytes[k].Load()
}
