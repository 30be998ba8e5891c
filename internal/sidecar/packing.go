package sidecar

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"boragefall/internal/catalog"
	"boragefall/internal/wire"
)

const (
	// packBytes is the length from which values are compressed for other nodes. A
	// configuration has about 100 KB of which a tenth is left, and a relay may have a
	// link of 10 Mbit/s for all its followers.
	packBytes = 2 << 10
	// maxUnpacked bounds a value that another node sends; the platform permits
	// values of 1 MiB.
	maxUnpacked = 4 << 20
	// maxUnpackedState bounds all items that another node sends at once: a value of
	// the most that the platform permits, and 10,000 servers of 1 KB.
	maxUnpackedState = 16 << 20
)

var errUnpackedLong = eris.New("more than another node may send")

// packer turns items into messages. It keeps the compressed form of each large item
// and of the last whole state, since every follower asks for the same. It is safe for
// concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]*wire.StateItem // by key
	// state is the whole state of stateRevision.
	state         []byte
	stateRevision uint64
}

func newPacker() *packer {
	return &packer{packed: map[string]*wire.StateItem{}}
}

func (p *packer) pack(item catalog.Item) (*wire.StateItem, error) {
	message := plain(item)
	if len(item.Value) < packBytes {
		return message, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.packed[item.Key]; known != nil && known.GetRevision() == item.Revision {
		return known, nil
	}
	value, err := compress(item.Value)
	if err != nil {
		return nil, err
	}
	message.Value, message.Packed = value, true
	p.packed[item.Key] = message
	return message, nil
}

// packAll packs all items of a revision together: nodes that start ask for them at
// the same time, and the records of servers differ little.
func (p *packer) packAll(items []catalog.Item, revision uint64) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != nil && p.stateRevision == revision {
		return p.state, nil
	}
	all := &wire.StateItems{Items: make([]*wire.StateItem, 0, len(items))}
	for _, item := range items {
		all.Items = append(all.Items, plain(item))
	}
	message, err := proto.Marshal(all)
	if err != nil {
		return nil, eris.Wrap(err, "encode the state")
	}
	packed, err := compress(message)
	if err != nil {
		return nil, err
	}
	p.state, p.stateRevision = packed, revision
	return packed, nil
}

func plain(item catalog.Item) *wire.StateItem {
	return &wire.StateItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
}

func compress(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return buffer.Bytes(), nil
}

// decompress returns what was compressed, or an error when it is longer than a limit.
func decompress(packed []byte, limit int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	value, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if int64(len(value)) > limit {
		return nil, errUnpackedLong
	}
	return value, nil
}

func unpack(message *wire.StateItem) (catalog.Item, error) {
	item := catalog.Item{
		Key: message.GetKey(), Value: message.GetValue(), Revision: message.GetRevision(), Deleted: message.GetDeleted(),
	}
	if !message.GetPacked() {
		return item, nil
	}
	value, err := decompress(message.GetValue(), maxUnpacked)
	item.Value = value
	return item, eris.Wrapf(err, "value of %s", item.Key)
}

// unpackAll returns the items of an answer.
func unpackAll(answer *wire.StateAnswer) ([]catalog.Item, error) {
	messages := answer.GetItems()
	if len(answer.GetPackedItems()) > 0 {
		encoded, err := decompress(answer.GetPackedItems(), maxUnpackedState)
		if err != nil {
			return nil, err
		}
		var all wire.StateItems
		if err := proto.Unmarshal(encoded, &all); err != nil {
			return nil, eris.Wrap(err, "decode the state")
		}
		messages = append(all.GetItems(), messages...)
	}
	items := make([]catalog.Item, 0, len(messages))
	for _, message := range messages {
		item, err := unpack(message)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}
