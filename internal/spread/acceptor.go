package spread

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/platform"
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

// BuildAcceptor accepts what config.Build and DecodeHostList accept.
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
		list, err := DecodeHostList(version, files)
		if err != nil {
			return Accepted{}, err
		}
		return Accepted{Version: version, List: list}, nil
	default:
		return Accepted{}, eris.Wrapf(ErrUnknownKind, "%d", kind)
	}
}

// epochShift makes room for the platform's revision below the epoch in the
// revision of a host list.
const epochShift = 40

// listRevision orders host lists as their versions do: a list of a later epoch
// is newer whatever the platform's revision. In epoch 0 it is that revision.
func listRevision(v config.Version) uint64 {
	return v.Epoch<<epochShift | v.Revision
}

// DecodeHostList decodes and checks the host list's single file.
func DecodeHostList(version config.Version, files []config.File) (*host.List, error) {
	if len(files) != 1 || files[0].Name != platform.HostListFile {
		return nil, eris.Wrapf(ErrBadHostList, "want one file %s", platform.HostListFile)
	}
	decoder := json.NewDecoder(bytes.NewReader(files[0].Data))
	decoder.DisallowUnknownFields()
	list := &host.List{}
	if err := decoder.Decode(list); err != nil {
		return nil, eris.Wrap(ErrBadHostList, err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, eris.Wrap(ErrBadHostList, "bytes after the list")
	}
	if list.Revision != version.Revision || version.Revision>>epochShift != 0 || version.Epoch>>(64-epochShift) != 0 {
		return nil, eris.Wrapf(ErrBadHostList, "revision %d of version %s", list.Revision, version)
	}
	list.Revision = listRevision(version)
	list.Sort()
	return list, checkListings(list)
}

func checkListings(list *host.List) error {
	for i, listing := range list.Hosts {
		if listing.ID == "" {
			return eris.Wrap(ErrBadHostList, "a host without an id")
		}
		if i > 0 && list.Hosts[i-1].ID == listing.ID {
			return eris.Wrapf(ErrBadHostList, "host %q stands twice", listing.ID)
		}
		if _, err := netip.ParseAddrPort(listing.Address); err != nil {
			return eris.Wrapf(ErrBadHostList, "host %q: %v", listing.ID, err)
		}
	}
	return nil
}
