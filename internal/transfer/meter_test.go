package transfer_test

import (
	"testing"

	"boragefall/internal/transfer"
)

// Guards against bytes that are counted twice or under the wrong kind, which would hide
// what makes traffic between data centres expensive.
func TestEveryByteOfARequestIsCountedOnce(t *testing.T) {
	var m transfer.Meter
	m.RecordRequest(transfer.Usage{Total: 1000, Body: 100, Answer: 600})
	m.RecordRequest(transfer.Usage{Total: 400, Body: 50, Answer: 150, Nested: true})
	m.RecordState(70)
	want := map[string]int64{"answer": 600, "body": 100, "call": 200, "hint": 500, "state": 70}
	for _, kind := range transfer.Kinds() {
		if got := m.Bytes(kind); got != want[kind.String()] {
			t.Errorf("%s: %d bytes, want %d", kind, got, want[kind.String()])
		}
	}
}
