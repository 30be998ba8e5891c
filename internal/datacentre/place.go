// Package datacentre names where hosts stand and how far apart two places are.
package datacentre

// ID names a data centre, such as "esbjerg".
type ID string

// Region names a group of data centres that may lose the others for a while.
type Region string

// Place is where a host stands.
type Place struct {
	Region     Region `json:"region"`
	DataCentre ID     `json:"dataCentre"`
}

// Distance is the number of boundaries between two places.
type Distance uint8

// Distances, from near to far.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns how far another place is.
func (p Place) DistanceTo(other Place) Distance {
	if p.Region != other.Region {
		return OtherRegion
	}
	if p.DataCentre != other.DataCentre {
		return SameRegion
	}
	return SameDataCentre
}
