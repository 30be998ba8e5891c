package caller

import (
	"crypto/sha256"
	"io"

	"boragefall/internal/intake"
)

// body provides the caller's request body to each attempt.
type body struct {
	*intake.Body
	opened bool
}

// Open returns a reader of the body for the next attempt. It returns false when the
// body was streamed to an earlier attempt and can't be replayed.
func (b *body) Open() (io.Reader, bool) {
	if b.opened && !b.Body.CanOpen() {
		return nil, false
	}
	b.opened = true
	return b.Reader(), true
}

// CanOpen reports whether the next call to Open will succeed.
func (b *body) CanOpen() bool {
	return !b.opened || b.Body.CanOpen()
}

// digest returns the SHA-256 of a fully buffered body.
func (b *body) digest() []byte {
	sum := sha256.New()
	_, _ = io.Copy(sum, b.Reader())
	return sum.Sum(nil)
}

// bytes returns the content of a fully buffered body.
func (b *body) bytes() []byte {
	data, _ := io.ReadAll(b.Reader())
	return data
}
