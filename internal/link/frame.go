package link

import (
	"bufio"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the longest message that a link takes. A pull answer may
// carry a whole configuration of 1 MB.
const MaxFrameBytes = 2 << 20

// WriteFrame writes one message, preceded by its length.
func WriteFrame(w io.Writer, m proto.Message) error {
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return eris.Wrap(err, "write message")
	}
	return nil
}

// ReadFrame reads one message. It returns io.EOF at a clean end, and
// ErrFrameTooLong or ErrMalformed for a message that no node should send.
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
