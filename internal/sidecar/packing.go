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
	// minCompressBytes is the size from which values are compressed for other nodes. A
	// configuration has about 100 KB and compresses to a tenth, and a relay may have a
	// link of 10 Mbit/s for all its followers.
	minCompressBytes = 2 << 10
	// maxDecompressedValue bounds a value received from another node; the platform
	// permits values of 1 MiB.
	maxDecompressedValue = 4 << 20
	// maxDecompressedState bounds all items received from another node at once: one
	// value of the largest permitted size and 10,000 servers of 1 KB.
	maxDecompressedState = 16 << 20
)

var errDecompressedTooLong = eris.New("decompressed data exceeds the size limit")

// stateEncoder converts items to messages. It caches the compressed form of each large
// item and of the latest full state, since all followers request the same ones. It is
// safe for concurrent use.
type stateEncoder struct {
	mu              sync.Mutex
	compressedByKey map[string]*wire.StateItem
	// state is the compressed full state at stateVersion.
	state        []byte
	stateVersion catalog.Version
}

func newStateEncoder() *stateEncoder {
	return &stateEncoder{compressedByKey: map[string]*wire.StateItem{}}
}

func (p *stateEncoder) encodeItem(item catalog.Item) (*wire.StateItem, error) {
	message := uncompressedMessage(item)
	if len(item.Value) < minCompressBytes {
		return message, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.compressedByKey[item.Key]; known != nil && versionOf(known) == item.Version {
		return known, nil
	}
	value, err := compress(item.Value)
	if err != nil {
		return nil, err
	}
	message.Value, message.Packed = value, true
	p.compressedByKey[item.Key] = message
	return message, nil
}

// encodeState compresses all items of a version together: starting nodes request them
// at the same time, and the records of servers are very similar.
func (p *stateEncoder) encodeState(items []catalog.Item, version catalog.Version) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != nil && p.stateVersion == version {
		return p.state, nil
	}
	all := &wire.StateItems{Items: make([]*wire.StateItem, 0, len(items))}
	for _, item := range items {
		all.Items = append(all.Items, uncompressedMessage(item))
	}
	message, err := proto.Marshal(all)
	if err != nil {
		return nil, eris.Wrap(err, "encode the state items")
	}
	compressed, err := compress(message)
	if err != nil {
		return nil, err
	}
	p.state, p.stateVersion = compressed, version
	return compressed, nil
}

func uncompressedMessage(item catalog.Item) *wire.StateItem {
	return &wire.StateItem{
		Key: item.Key, Value: item.Value, Era: item.Version.Era, Revision: item.Version.Revision, Deleted: item.Deleted,
	}
}

// versioned is a message with a version of the store.
type versioned interface {
	GetEra() uint64
	GetRevision() uint64
}

func versionOf(message versioned) catalog.Version {
	return catalog.Version{Era: message.GetEra(), Revision: message.GetRevision()}
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

// decompress returns the decompressed data, or an error if it exceeds limit bytes.
func decompress(compressed []byte, limit int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	value, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if int64(len(value)) > limit {
		return nil, errDecompressedTooLong
	}
	return value, nil
}

func decodeItem(message *wire.StateItem) (catalog.Item, error) {
	item := catalog.Item{
		Key: message.GetKey(), Value: message.GetValue(), Version: versionOf(message), Deleted: message.GetDeleted(),
	}
	if !message.GetPacked() {
		return item, nil
	}
	value, err := decompress(message.GetValue(), maxDecompressedValue)
	item.Value = value
	return item, eris.Wrapf(err, "read the value of %s", item.Key)
}

// decodeState returns the items of an answer.
func decodeState(answer *wire.StateAnswer) ([]catalog.Item, error) {
	messages := answer.GetItems()
	if len(answer.GetPackedItems()) > 0 {
		encoded, err := decompress(answer.GetPackedItems(), maxDecompressedState)
		if err != nil {
			return nil, err
		}
		var all wire.StateItems
		if err := proto.Unmarshal(encoded, &all); err != nil {
			return nil, eris.Wrap(err, "decode the state items")
		}
		messages = append(all.GetItems(), messages...)
	}
	items := make([]catalog.Item, 0, len(messages))
	for _, message := range messages {
		item, err := decodeItem(message)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}
