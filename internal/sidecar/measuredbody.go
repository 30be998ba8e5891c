package sidecar

import (
	"errors"
	"io"

	"boragefall/internal/linkbudget"
)

// measuredBody records the size of an answer that is read from its server.
type measuredBody struct {
	io.ReadCloser
	route string
	sizes *linkbudget.Sizes
	read  int64
	ended bool
}

// Read records the size at the end of the answer.
func (b *measuredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends an answer that was not read to its end.
func (b *measuredBody) Close() error {
	b.end(false)
	return b.ReadCloser.Close()
}

// end records the size once. An answer that is not whole is at least as large as what was
// read.
func (b *measuredBody) end(whole bool) {
	if !b.ended && (whole || b.read > b.sizes.Estimate(b.route)) {
		b.sizes.Observe(b.route, b.read)
	}
	b.ended = true
}
