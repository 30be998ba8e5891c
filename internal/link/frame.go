package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the maximum size of an encoded message. It leaves room for a
// PullAnswer with a whole configuration of 1 MB.
const MaxFrameBytes = 2 << 20

// WriteFrame writes one message, prefixed with its length.
func WriteFrame(w io.Writer, m proto.Message) error {
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return eris.Wrap(err, "write message")
	}
	return nil
}

// frameStepBytes is the size of a long message's buffer at first: a peer that states a length
// has not sent it yet. A chunk of a body fits.
const frameStepBytes = 40 << 10

// ReadFrame reads one length-prefixed message. It returns io.EOF if the input ends
// between messages, and an error that wraps ErrFrameTooLong or ErrMalformed for a
// message that violates the protocol.
func ReadFrame(r *bufio.Reader, m proto.Message) error {
	_, err := readFrame(r, m, MaxFrameBytes, func(int) {})
	return err
}

// readFrame is ReadFrame with a bound on the message's size, which it returns. It passes the
// bytes by which a buffer for the message grows to grown.
func readFrame(r *bufio.Reader, m proto.Message, maxBytes int, grown func(int)) (int, error) {
	length, err := binary.ReadUvarint(r)
	switch {
	case err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF):
		return 0, err
	case err != nil && !isOverflow(err):
		return 0, err
	case err != nil:
		return 0, eris.Wrap(ErrMalformed, err.Error())
	case length > uint64(maxBytes):
		return 0, eris.Wrapf(ErrFrameTooLong, "%d bytes of at most %d", length, maxBytes)
	}
	size := int(length)
	if size <= r.Size() {
		err = decodeBuffered(r, m, size)
	} else {
		err = decodeLong(r, m, size, grown)
	}
	return size, err
}

// isOverflow reports that a length had more than 64 bits: binary.ReadUvarint has no error of
// its own for it.
func isOverflow(err error) bool {
	return err.Error() == "binary: varint overflows a 64-bit integer"
}

// decodeBuffered decodes a message that fits the reader's buffer.
func decodeBuffered(r *bufio.Reader, m proto.Message, size int) error {
	data, err := r.Peek(size)
	if err != nil {
		return truncated(err)
	}
	err = decode(data, m)
	_, _ = r.Discard(size) // the bytes are buffered
	return err
}

// decodeLong decodes a message into a buffer that grows as its bytes arrive.
func decodeLong(r io.Reader, m proto.Message, size int, grown func(int)) error {
	data := make([]byte, 0, min(size, frameStepBytes))
	grown(cap(data))
	for len(data) < size {
		if len(data) == cap(data) {
			grown(min(len(data), size-len(data)))
			data = append(make([]byte, 0, min(2*len(data), size)), data...)
		}
		n, err := io.ReadFull(r, data[len(data):min(cap(data), size)])
		data = data[:len(data)+n]
		if err != nil {
			return truncated(err)
		}
	}
	return decode(data, m)
}

// truncated returns the error of an input that ended within a message.
func truncated(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func decode(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	return nil
}
