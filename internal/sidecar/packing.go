package sidecar

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"boragefall/internal/catalog"
	"boragefall/internal/wire"
)

const (
	// packBytes is the length from which values are compressed for other nodes. A
	// configuration has about 100 KB of which a tenth is left, and a leader may
	// have a link of 10 Mbit/s for all its followers.
	packBytes = 2 << 10
	// maxUnpacked bounds a value that another node sends; the platform permits
	// values of 1 MiB.
	maxUnpacked = 4 << 20
)

// packer turns items into messages. It keeps the compressed form of each large
// item, since every follower asks for the same. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]*wire.StateItem // by key
}

func newPacker() *packer {
	return &packer{packed: map[string]*wire.StateItem{}}
}

func (p *packer) pack(item catalog.Item) (*wire.StateItem, error) {
	message := &wire.StateItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	if len(item.Value) < packBytes {
		return message, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.packed[item.Key]; known != nil && known.GetRevision() == item.Revision {
		return known, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := writer.Write(item.Value); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	message.Value, message.Packed = buffer.Bytes(), true
	p.packed[item.Key] = message
	return message, nil
}

func unpack(message *wire.StateItem) (catalog.Item, error) {
	item := catalog.Item{
		Key: message.GetKey(), Value: message.GetValue(), Revision: message.GetRevision(), Deleted: message.GetDeleted(),
	}
	if !message.GetPacked() {
		return item, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(message.GetValue()))
	if err != nil {
		return item, eris.Wrapf(err, "decompress %s", item.Key)
	}
	item.Value, err = io.ReadAll(io.LimitReader(reader, maxUnpacked))
	return item, eris.Wrapf(err, "decompress %s", item.Key)
}
