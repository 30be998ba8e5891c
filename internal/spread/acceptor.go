package spread

import (
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// ValidDocument is a validated document. Exactly one of Snapshot and List is set.
type ValidDocument struct {
	Version  config.Version
	Snapshot *config.Snapshot
	List     *host.List
}

// Validator validates the files of a document as a whole. It is deterministic: the same
// bytes give the same result in every process of the same release. A configuration
// contains its epoch; a host list has the epoch of the version that is passed in.
type Validator interface {
	Validate(kind wire.DocumentKind, version config.Version, files []config.File) (ValidDocument, error)
}

// BuildValidator validates documents with config.Build and JoinHostList.
type BuildValidator struct{}

// Validate builds the document. The error of an invalid document lists all problems.
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
