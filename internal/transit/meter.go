// Package transit measures how long messages from other nodes were on their way, without
// a clock in common. A message carries the time of its sender's clock; the smallest
// difference between the clocks of receiver and sender over the last messages is taken as
// that of a message without delay, and what exceeds it is delay.
package transit

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// epochTime is the time after which a smallest difference is replaced by that of the
	// messages since. Clocks drift apart by less than a millisecond in that time.
	epochTime = time.Minute
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
)

// Meter measures the delay of messages. It is safe for concurrent use. A meter that is nil
// measures no delay.
type Meter struct {
	mu      sync.Mutex
	senders *simplelru.LRU[uint64, *base]
}

// base is the smallest difference between the clocks for one sender.
type base struct {
	// current is the smallest one since epochStart, previous that of the epoch before.
	current, previous time.Duration
	epochStart        time.Duration
}

// NewMeter returns a meter that knows no senders.
func NewMeter() *Meter {
	senders, err := simplelru.NewLRU[uint64, *base](maxSenders, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &Meter{senders: senders}
}

// Delay returns how long a message was on its way, beyond the least delayed message of the
// same sender. sentAt is a reading of the sender's clock, receivedAt one of this node's;
// both clocks never stop or jump. A sender of 0 is unknown and has no delay.
func (m *Meter) Delay(sender uint64, sentAt, receivedAt time.Duration) time.Duration {
	if m == nil || sender == 0 {
		return 0
	}
	difference := receivedAt - sentAt
	m.mu.Lock()
	defer m.mu.Unlock()
	b, known := m.senders.Get(sender)
	if !known {
		b = &base{current: difference, previous: difference, epochStart: receivedAt}
		m.senders.Add(sender, b)
	}
	if receivedAt-b.epochStart > epochTime {
		b.previous, b.current, b.epochStart = b.current, difference, receivedAt
	}
	b.current = min(b.current, difference)
	return difference - min(b.current, b.previous)
}
