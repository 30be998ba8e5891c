package link

import (
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"
)

// An account that doesn't return to zero would close the links of ordinary peers after a
// while; one that a split frame confuses would count nothing.
func TestInboxAccountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newInboxes(1<<40, func() {})
		box := all.newInbox(&coalescingConn{})
		var bytes []byte
		unread := map[uint32]int{}
		for id := uint32(1); id < 9; id += 2 {
			unread[id] = 0
			bytes = append(bytes, frame(1, yamuxSYN, id, 0)...)
		}
		for range rapid.IntRange(0, 20).Draw(t, "frames") {
			id := uint32(rapid.IntRange(1, 4).Draw(t, "stream"))*2 - 1
			size := rapid.IntRange(0, 300).Draw(t, "size")
			unread[id] += size
			bytes = append(bytes, frame(yamuxData, 0, id, size)...)
			bytes = append(bytes, make([]byte, size)...)
			bytes = append(bytes, frame(1, 0, id, 77)...) // a window update carries no data
		}
		for len(bytes) > 0 {
			n := rapid.IntRange(1, len(bytes)).Draw(t, "read")
			box.scan(bytes[:n])
			bytes = bytes[n:]
		}
		total := len(unread) * inboxStreamBytes
		for _, n := range unread {
			total += n
		}
		if int(all.used) != total {
			t.Fatalf("%d bytes counted of %d", all.used, total)
		}
		for id, n := range unread {
			box.read(id, n)
			box.closeStream(id)
			box.scan(frame(yamuxData, yamuxFIN, id, 0))
		}
		if all.used != 0 || len(box.streams) != 0 {
			t.Fatalf("%d bytes and %d streams are left", all.used, len(box.streams))
		}
	})
}

func frame(kind byte, flags uint16, id uint32, length int) []byte {
	header := []byte{0, kind}
	header = binary.BigEndian.AppendUint16(header, flags)
	header = binary.BigEndian.AppendUint32(header, id)
	return binary.BigEndian.AppendUint32(header, uint32(length))
}
