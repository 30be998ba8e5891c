// Package catalog keeps what the store says of the mesh: the configuration,
// the backend servers and the data centres that are taken out. It applies
// events in the order of their revisions, never goes back, and publishes an
// immutable view after each change.
package catalog

import "boragefall/internal/mesh"

// Item is one key of the store as it was at a revision.
type Item struct {
	// Key names the item.
	Key string
	// Value is the item's content; it is empty when the item was deleted.
	Value []byte
	// Revision is the store's revision at the item's last change.
	Revision uint64
	// Deleted reports that the key was removed at Revision.
	Deleted bool
}

// Subject is what an item is about.
type Subject uint8

// Subjects.
const (
	SubjectOther Subject = iota
	SubjectConfig
	SubjectServer
	SubjectEvacuation
)

// Record is the meaning of an item.
type Record struct {
	// Subject says which of the other fields are set.
	Subject Subject
	// Config is the configuration, or nil when it was deleted.
	Config *mesh.Config
	// ServerID names the server, also when it was deleted.
	ServerID mesh.ServerID
	// Server is the server's record, or nil when it was deleted.
	Server *mesh.Server
	// DataCentre is the one that an evacuation takes out.
	DataCentre string
}

// Decoder reads items. An error means that the item can't be used.
type Decoder interface {
	Decode(Item) (Record, error)
}
