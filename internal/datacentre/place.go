// Package datacentre defines the locations of hosts and the distance between them.
package datacentre

// ID identifies a data centre, such as "esbjerg".
type ID string

// Region identifies a group of data centres. A network partition may separate it from
// other regions for a while.
type Region string

// Place is the location of a host.
type Place struct {
	Region     Region `json:"region"`
	DataCentre ID     `json:"dataCentre"`
}

// Distance is the number of boundaries, of data centre and region, between two places.
type Distance uint8

// Distances in increasing order.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance from p to another place.
func (p Place) DistanceTo(other Place) Distance {
	if p.Region != other.Region {
		return OtherRegion
	}
	if p.DataCentre != other.DataCentre {
		return SameRegion
	}
	return SameDataCentre
}
