package node

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"boragefall/internal/control"
	"boragefall/internal/exchange"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// maxParallelQueries bounds the hosts queried concurrently.
const maxParallelQueries = 32

// FleetMember is the configuration status that a node reports.
type FleetMember struct {
	Host       host.ID `json:"host"`
	DataCentre string  `json:"dataCentre"`
	Service    string  `json:"service"`
	Reachable  bool    `json:"reachable"`
	Applied    string  `json:"applied"`
	Leaving    bool    `json:"leaving"`
}

// fleet queries the applied configuration version of all hosts in the host list.
type fleet struct {
	state  *state
	client *control.Client
}

func newFleet(s *state, c *control.Client) *fleet {
	return &fleet{state: s, client: c}
}

// read queries every listed host once and returns them sorted by name.
func (f *fleet) read(ctx context.Context) []FleetMember {
	listings := f.state.list.Load().Hosts
	members := make([]FleetMember, len(listings))
	slots := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for i, l := range listings {
		slots <- struct{}{}
		wg.Go(func() {
			members[i] = f.query(ctx, l)
			<-slots
		})
	}
	wg.Wait()
	slices.SortFunc(members, func(a, b FleetMember) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

// query reads the applied version of a host from its reply to an empty gossip message.
func (f *fleet) query(ctx context.Context, l host.Listing) FleetMember {
	member := FleetMember{Host: l.ID, DataCentre: string(l.Place.DataCentre), Service: l.Service, Leaving: l.Leaving}
	if l.ID == f.state.self.ID {
		member.Reachable = true
		member.Applied = f.state.version().String()
		return member
	}
	reply, err := f.client.Gossip(ctx, l.Address, &wire.Gossip{SourceAgeMillis: -1})
	if err != nil {
		return member
	}
	member.Reachable = true
	member.Applied = exchange.DecodeVersion(reply.GetApplied()).String()
	return member
}
