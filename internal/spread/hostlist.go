package spread

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/host"
)

// hostListShards is the maximum number of files into which a host list is split, so that
// the change of one host transfers only one small file. Empty shards are omitted.
const hostListShards = 64

// epochShift is the number of low bits of a host list's revision that hold the
// platform's revision; the epoch is above them.
const epochShift = 40

// listRevision returns a revision that orders host lists as their versions do: a list of
// a later epoch is newer regardless of the platform's revision. In epoch 0 it equals the
// platform's revision.
func listRevision(v config.Version) uint64 {
	return v.Epoch<<epochShift | v.Revision
}

// SplitHostList splits the platform's host list into the shards that are distributed. The
// shards depend only on the entries, not on their order or formatting.
func SplitHostList(revision uint64, files []config.File) ([]config.File, error) {
	if len(files) != 1 || files[0].Name != configservice.HostListFile {
		return nil, eris.Wrapf(ErrBadHostList, "want exactly one file, %s", configservice.HostListFile)
	}
	list := &host.List{}
	if err := decodeStrictly(files[0].Data, list); err != nil {
		return nil, err
	}
	if list.Revision != revision {
		return nil, eris.Wrapf(ErrBadHostList, "revision %d, want %d", list.Revision, revision)
	}
	if len(list.Hosts) == 0 {
		// A fleet always has hosts, so an empty list is an error of the platform.
		return nil, eris.Wrap(ErrBadHostList, "list has no hosts")
	}
	list.Sort()
	if err := checkListings(list.Hosts); err != nil {
		return nil, err
	}
	return splitListings(list.Hosts)
}

func splitListings(sorted []host.Listing) ([]config.File, error) {
	var groups [hostListShards][]host.Listing
	for _, l := range sorted {
		group := xxhash.Sum64String(string(l.ID)) % hostListShards
		groups[group] = append(groups[group], l)
	}
	var shards []config.File
	for i, group := range groups {
		if len(group) == 0 {
			continue
		}
		data, err := json.Marshal(group)
		if err != nil {
			return nil, eris.Wrap(ErrBadHostList, err.Error())
		}
		shards = append(shards, config.File{Name: fmt.Sprintf("hosts-%02d.json", i), Data: data})
	}
	return shards, nil
}

// JoinHostList joins the shards of a version and validates the resulting list.
func JoinHostList(version config.Version, shards []config.File) (*host.List, error) {
	if version.Revision>>epochShift != 0 || version.Epoch>>(64-epochShift) != 0 {
		return nil, eris.Wrapf(ErrBadHostList, "version %s is out of range", version)
	}
	list := &host.List{Revision: listRevision(version)}
	for _, shard := range shards {
		var group []host.Listing
		if err := decodeStrictly(shard.Data, &group); err != nil {
			return nil, err
		}
		list.Hosts = append(list.Hosts, group...)
	}
	list.Sort()
	return list, checkListings(list.Hosts)
}

func decodeStrictly(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return eris.Wrap(ErrBadHostList, err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return eris.Wrap(ErrBadHostList, "unexpected bytes after the list")
	}
	return nil
}

func checkListings(sorted []host.Listing) error {
	for i, l := range sorted {
		if l.ID == "" {
			return eris.Wrap(ErrBadHostList, "host without an id")
		}
		if i > 0 && sorted[i-1].ID == l.ID {
			return eris.Wrapf(ErrBadHostList, "duplicate host %q", l.ID)
		}
		if _, err := netip.ParseAddrPort(l.Address); err != nil {
			return eris.Wrapf(ErrBadHostList, "invalid address of host %q: %v", l.ID, err)
		}
	}
	return nil
}
