package link

import "github.com/rotisserie/eris"

// Sentinel errors of this package.
var (
	ErrFrameTooLong   = eris.New("a message is longer than a link takes")
	ErrMalformed      = eris.New("a message cannot be decoded")
	ErrUnreachable    = eris.New("no link to the peer could be made")
	ErrProtocol       = eris.New("the peer speaks no protocol version in common")
	ErrUnexpectedKind = eris.New("the stream opened with an unexpected message")
	ErrClosed         = eris.New("the link is closed")
)
