package spread

import (
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// Accepted is a checked document. Exactly one of Snapshot and List is set.
type Accepted struct {
	Version  config.Version
	Snapshot *config.Snapshot
	List     *host.List
}

// Acceptor checks the files of a document whole. It is pure: the same bytes
// give the same verdict in every process of the same release. The epoch of a
// configuration stands in its files; a host list takes the one it is given.
type Acceptor interface {
	Accept(kind wire.DocumentKind, version config.Version, files []config.File) (Accepted, error)
}

// BuildAcceptor accepts what config.Build and JoinHostList accept.
type BuildAcceptor struct{}

// Accept builds the document. A refusal is an error that lists all problems.
func (BuildAcceptor) Accept(kind wire.DocumentKind, version config.Version, files []config.File) (Accepted, error) {
	switch kind {
	case KindConfig:
		snapshot, report := config.Build(version.Revision, files)
		if !report.OK() {
			return Accepted{}, eris.Wrap(config.ErrRejected, report.Error())
		}
		return Accepted{Version: snapshot.Version, Snapshot: snapshot}, nil
	case KindHostList:
		list, err := JoinHostList(version, files)
		if err != nil {
			return Accepted{}, err
		}
		return Accepted{Version: version, List: list}, nil
	default:
		return Accepted{}, eris.Wrapf(ErrUnknownKind, "%d", kind)
	}
}
