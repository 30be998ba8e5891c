package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// packOverhead is the maximum number of bytes that compression adds to a short file.
const packOverhead = 16

// packers pools *flate.Writer values, since their tables are large.
var packers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // unreachable: the level is a valid constant
	}
	return writer
}}

// unpackers pools flate readers.
var unpackers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// pack compresses the content of a file for the transfer (DEFLATE, RFC 1951).
func pack(data []byte) []byte {
	writer := packers.Get().(*flate.Writer)
	defer packers.Put(writer)
	var out bytes.Buffer
	writer.Reset(&out)
	// Writes to a bytes.Buffer don't fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return out.Bytes()
}

// unpack decompresses the output of pack. It fails if the result exceeds limit bytes.
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
		return nil, eris.Wrapf(ErrBadPiece, "content exceeds %d bytes", limit)
	}
	return data, nil
}
