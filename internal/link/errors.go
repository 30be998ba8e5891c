package link

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	ErrFrameTooLong = eris.New("message is longer than the maximum frame size")
	ErrMalformed    = eris.New("message cannot be decoded")
	ErrUnreachable  = eris.New("peer is unreachable")
	// ErrNoListener is an ErrUnreachable: the peer's host answers, but no process listens.
	ErrNoListener     = eris.Wrap(ErrUnreachable, "no process listens")
	ErrProtocol       = eris.New("peer supports no common protocol version")
	ErrUnexpectedKind = eris.New("stream opening has an unexpected kind")
	// ErrRawText is an ErrUnreachable for one message: its text is not UTF-8, and the peer, of
	// an older build, reads nothing else.
	ErrRawText = eris.Wrap(ErrUnreachable, "the peer's build reads only UTF-8")
	ErrClosed  = eris.New("link is closed")
)
