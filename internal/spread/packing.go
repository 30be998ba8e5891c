package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// packOverhead is what packing adds at most to a short file, in bytes.
const packOverhead = 16

// packers keeps *flate.Writer, whose tables are large.
var packers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant that flate knows
	}
	return writer
}}

// unpackers keeps the readers of flate.
var unpackers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// pack compresses the bytes of a file for the link (DEFLATE, RFC 1951).
func pack(data []byte) []byte {
	writer := packers.Get().(*flate.Writer)
	defer packers.Put(writer)
	var out bytes.Buffer
	writer.Reset(&out)
	// Writes to a buffer don't fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return out.Bytes()
}

// unpack reverses pack. More than limit bytes are an error.
func unpack(packed []byte, limit int) ([]byte, error) {
	reader := unpackers.Get().(io.Reader)
	defer unpackers.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, eris.Wrap(ErrBadPiece, err.Error())
	}
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, eris.Wrap(ErrBadPiece, err.Error())
	}
	if len(data) > limit {
		return nil, eris.Wrapf(ErrBadPiece, "over %d bytes", limit)
	}
	return data, nil
}
