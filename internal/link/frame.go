package link

import (
	"bufio"
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

// ReadFrame reads one length-prefixed message. It returns io.EOF if the input ends
// between messages, and an error that wraps ErrFrameTooLong or ErrMalformed for a
// message that violates the protocol.
func ReadFrame(r *bufio.Reader, m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	err := options.UnmarshalFrom(r, m)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return io.EOF
	case errors.As(err, &tooLarge):
		return eris.Wrap(ErrFrameTooLong, err.Error())
	case errors.Is(err, proto.Error):
		return eris.Wrap(ErrMalformed, err.Error())
	default:
		return err
	}
}
