// Package idempotency parses the idempotency keys of callers and generates keys for requests
// that arrive without one.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// HeaderName is the HTTP header that carries a caller's key.
const HeaderName = "Idempotency-Key"

// ClockBound is the largest assumed difference between the clocks of two hosts, and between
// the clock of one host before and after a restart.
const ClockBound = 2 * time.Second

// MaxLength is the maximum length of a key in bytes.
const MaxLength = 128

// maxAheadAtEntry is how far a key's time may be ahead of the entry node's clock. A gate
// runs a key at most ClockBound ahead of its own clock, and no gate's clock is more than
// ClockBound ahead of the entry node's. A key ahead of both bounds has run on no gate.
const maxAheadAtEntry = 2 * ClockBound

// uuidVersion7 is the UUID version whose first 48 bits are a Unix time in milliseconds.
const uuidVersion7 = 7

// Key identifies one request of one caller.
type Key struct {
	// Value is the key as the caller sent it; a UUIDv7 is in its canonical form.
	Value string
	// Time is when the key was generated, to the millisecond; zero for an untimed key.
	Time time.Time
	// Minted reports that the entry node generated the key, so that no caller can send it.
	Minted bool
}

// Timed reports whether the key contains its time.
func (k Key) Timed() bool {
	return !k.Time.IsZero()
}

// Ahead returns by how much the key's time is later than a gate with clock now accepts. The
// gate accepts the key when the result is not positive.
func (k Key) Ahead(now time.Time) time.Duration {
	if !k.Timed() {
		return 0
	}
	return k.Time.Sub(now) - ClockBound
}

// Parse parses the key of a request. A UUIDv7 (RFC 9562) is a timed key; any other string
// of 1 to MaxLength printable ASCII characters is an untimed one. If the time is too far
// ahead of now, Parse returns ErrKeyTooFarAhead together with the key, whose Ahead is
// the time to wait.
func Parse(header string, now time.Time) (Key, error) {
	if !isPrintable(header) {
		return Key{}, eris.Wrapf(ErrInvalidKey, "%d bytes", len(header))
	}
	id, err := uuid.Parse(header)
	if err != nil || id.Version() != uuidVersion7 || id.Variant() != uuid.RFC4122 {
		return Key{Value: header}, nil
	}
	key := Key{Value: id.String(), Time: uuidTime(id)}
	if key.Time.Sub(now) > maxAheadAtEntry {
		return key, eris.Wrapf(ErrKeyTooFarAhead, "%s", key.Time.Sub(now))
	}
	return key, nil
}

// Mint generates a key that only this process knows.
func Mint(now time.Time) Key {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New() // a UUIDv4, without a time, is enough: minted keys are not ranked
	}
	return Key{Value: id.String(), Time: now.Truncate(time.Millisecond), Minted: true}
}

// DigestKey returns an untimed key derived from the content of a request, for callers that
// can't send a key. Equal requests of one caller have the same key.
func DigestKey(caller, method, uri string, body []byte) Key {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(caller), []byte(method), []byte(uri), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write(part)
	}
	return Key{Value: "digest-" + hex.EncodeToString(sum.Sum(nil))}
}

// ScopedKey returns the ledger's name for a key of a caller, so that equal keys of two
// callers differ. It is injective, because the caller's name is preceded by its length.
func ScopedKey(caller string, k Key) string {
	var length [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(length[:], uint64(len(caller)))
	return string(length[:n]) + caller + k.Value
}

// uuidTime returns the time in the first 48 bits of a UUIDv7.
func uuidTime(id uuid.UUID) time.Time {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

func isPrintable(text string) bool {
	if len(text) == 0 || len(text) > MaxLength {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
