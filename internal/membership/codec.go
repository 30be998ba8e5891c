package membership

import (
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// maxQuarantineEntries is the most quarantine fingerprints that one record carries.
const maxQuarantineEntries = 32

func recordToWire(r host.Record) *wire.HostRecord {
	return &wire.HostRecord{
		Host:       string(r.ID),
		BootMillis: r.BootMillis,
		Sequence:   r.Sequence,
		Address:    r.Address,
		Place:      &wire.Place{Region: string(r.Place.Region), DataCentre: string(r.Place.DataCentre)},
		Service:    r.Service,
		State:      uint32(r.State),
		Capacity:   r.Capacity,
		Quarantine: r.Quarantine,
	}
}

// recordFromWire decodes a record. It reports false if the record has no host, an unknown
// state or too many quarantine fingerprints.
func recordFromWire(w *wire.HostRecord) (host.Record, bool) {
	if w.GetHost() == "" || w.GetState() > uint32(host.StateDown) || len(w.GetQuarantine()) > maxQuarantineEntries {
		return host.Record{}, false
	}
	return host.Record{
		ID:         host.ID(w.GetHost()),
		BootMillis: w.GetBootMillis(),
		Sequence:   w.GetSequence(),
		Address:    w.GetAddress(),
		Place: datacentre.Place{
			Region:     datacentre.Region(w.GetPlace().GetRegion()),
			DataCentre: datacentre.ID(w.GetPlace().GetDataCentre()),
		},
		Service:    w.GetService(),
		State:      host.State(w.GetState()),
		Capacity:   w.GetCapacity(),
		Quarantine: w.GetQuarantine(),
	}, true
}
