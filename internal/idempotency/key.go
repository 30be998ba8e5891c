// Package idempotency reads the idempotency keys of callers and makes keys for
// requests that came without one.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// HeaderName is the HTTP header in which a caller sends its key.
const HeaderName = "Idempotency-Key"

// ClockBound is the largest difference between the clocks of two hosts, and of
// one host's clock before and after a restart.
const ClockBound = 2 * time.Second

// MaxLength is the longest key accepted, in bytes.
const MaxLength = 128

// maxAheadAtEntry is how far ahead of an entry's clock a key's time may be. A gate
// runs a key at most ClockBound ahead of its own clock, and no gate's clock is
// more than ClockBound ahead of the entry's: a key further ahead than both has
// run nowhere.
const maxAheadAtEntry = 2 * ClockBound

// uuidVersion7 is the UUID version whose first 48 bits are a Unix time.
const uuidVersion7 = 7

// Key names one request of one caller.
type Key struct {
	// Value is the key as the caller sent it.
	Value string
	// Time is when the key was made, to the millisecond; zero is untimed.
	Time time.Time
	// Minted reports that the entry made the key, so nobody else can send it.
	Minted bool
}

// Timed reports whether the key carries its time.
func (k Key) Timed() bool {
	return !k.Time.IsZero()
}

// Ahead returns by how much the key's time exceeds what a gate with clock now
// accepts; zero or less is acceptable.
func (k Key) Ahead(now time.Time) time.Duration {
	if !k.Timed() {
		return 0
	}
	return k.Time.Sub(now) - ClockBound
}

// Parse reads the key of a request. A UUIDv7 (RFC 9562) gives its time; any
// other string of 1 to MaxLength printable ASCII characters is untimed. A key
// with a time too far ahead of now gives ErrAhead together with the key, whose
// Ahead is the time to wait.
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
		return key, eris.Wrapf(ErrAhead, "%s", key.Time.Sub(now))
	}
	return key, nil
}

// Mint makes a key that only this process knows.
func Mint(now time.Time) Key {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New() // the time is informative only: a minted key is not ranked
	}
	return Key{Value: id.String(), Time: now.Truncate(time.Millisecond), Minted: true}
}

// DigestKey makes an untimed key of a request's content, for callers that can't
// send a key. Two equal requests of a caller share it.
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

// ScopedKey returns the name of a caller's key in the ledger, so that the keys of
// two callers never meet. It is injective: a length leads the caller's name.
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
