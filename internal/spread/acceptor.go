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
// give the same verdict in every process of the same release.
type Acceptor interface {
	Accept(kind wire.DocumentKind, revision uint64, files []config.File) (Accepted, error)
}

// BuildAcceptor accepts what config.Build and DecodeHostList accept.
type BuildAcceptor struct{}

// Accept builds the document. A refusal is an error that lists all problems.
func (BuildAcceptor) Accept(kind wire.DocumentKind, revision uint64, files []config.File) (Accepted, error) {
	switch kind {
	case KindConfig:
		snapshot, report := config.Build(revision, files)
		if !report.OK() {
			return Accepted{}, eris.Wrap(config.ErrRejected, report.Error())
		}
		return Accepted{Version: snapshot.Version, Snapshot: snapshot}, nil
	case KindHostList:
		list, err := DecodeHostList(revision, files)
		if err != nil {
			return Accepted{}, err
		}
		return Accepted{Version: config.Version{Revision: list.Revision}, List: list}, nil
	default:
		return Accepted{}, eris.Wrapf(ErrUnknownKind, "%d", kind)
	}
}

// DecodeHostList decodes and checks the host list's single file.
func DecodeHostList(revision uint64, files []config.File) (*host.List, error) {
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
	if list.Revision != revision {
		return nil, eris.Wrapf(ErrBadHostList, "revision %d, want %d", list.Revision, revision)
	}
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
