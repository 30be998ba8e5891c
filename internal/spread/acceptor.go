package spread

import (
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// ValidDocument is a checked document. Exactly one of Snapshot and List is set.
type ValidDocument struct {
	Version  config.Version
	Snapshot *config.Snapshot
	List     *host.List
}

// Validator checks the files of a document whole. It is pure: the same bytes
// give the same verdict in every process of the same release. The epoch of a
// configuration stands in its files; a host list takes the one it is given.
type Validator interface {
	Validate(kind wire.DocumentKind, version config.Version, files []config.File) (ValidDocument, error)
}

// BuildValidator accepts what config.Build and JoinHostList accept.
type BuildValidator struct{}

// Validate builds the document. A refusal is an error that lists all problems.
func (BuildValidator) Validate(kind wire.DocumentKind, version config.Version, files []config.File) (ValidDocument, error) {
	switch kind {
	case KindConfig:
		snapshot, report := config.Build(version.Revision, files)
		if !report.OK() {
			return ValidDocument{}, eris.Wrap(config.ErrRejected, report.Error())
		}
		return ValidDocument{Version: snapshot.Version, Snapshot: snapshot}, nil
	case KindHostList:
		list, err := JoinHostList(version, files)
		if err != nil {
			return ValidDocument{}, err
		}
		return ValidDocument{Version: version, List: list}, nil
	default:
		return ValidDocument{}, eris.Wrapf(ErrUnknownKind, "%d", kind)
	}
}
