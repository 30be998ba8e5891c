// Package catalog replicates the state of the mesh from the store: the configuration,
// the backend servers and the evacuated data centres. It applies events in the order of
// their versions, never reverts to an older version of a key, and publishes an
// immutable view after each change.
package catalog

import "boragefall/internal/mesh"

// Item is the state of a key of the store at a revision.
type Item struct {
	// Key identifies the item.
	Key string
	// Value is the content of the item; empty when the item is deleted.
	Value []byte
	// Version is the store's version at the last change of the item.
	Version Version
	// Deleted marks a tombstone: the key was deleted at Version.
	Deleted bool
}

// Subject is the kind of an item's content.
type Subject uint8

// Subjects of items.
const (
	SubjectOther Subject = iota
	SubjectConfig
	SubjectServer
	SubjectEvacuation
)

// Record is the decoded content of an item.
type Record struct {
	// Subject determines which of the other fields are set.
	Subject Subject
	// Config is the configuration; nil when it is deleted.
	Config *mesh.Config
	// ServerID identifies the server; it is set for a deleted server, too.
	ServerID mesh.ServerID
	// Server is the server's registration record; nil when it is deleted.
	Server *mesh.Server
	// DataCentre is the data centre that an evacuation affects.
	DataCentre string
}

// Decoder decodes items. An error means that the item is invalid; the subject and the
// names that could be decoded are returned with it.
type Decoder interface {
	Decode(Item) (Record, error)
}
