package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// subsetShares are the shares of a subset by distance, in percent. Places that a
// distance can't fill go to the others, nearest first.
var subsetShares = [distanceCount]int{
	datacentre.SameDataCentre: 50,
	datacentre.SameRegion:     35,
	datacentre.OtherRegion:    15,
}

const distanceCount = int(datacentre.OtherRegion) + 1

// rankedServer is a server with its rendezvous score.
type rankedServer struct {
	server   Server
	score    uint64
	distance datacentre.Distance
}

// subset picks at most size servers by rendezvous hash of the sender and the
// server, so that a sender's subset stays stable when other servers are added or
// removed, and all subsets together are spread evenly over the servers. Suspect
// servers rank after all others at the same distance.
func subset(self datacentre.Place, selfHost host.ID, servers []Server, size int) []Server {
	groups := groupByDistance(self, selfHost, servers)
	counts := [distanceCount]int{}
	remaining := size
	for d := range groups {
		counts[d] = min(len(groups[d]), max(1, size*subsetShares[d]/100), remaining)
		remaining -= counts[d]
	}
	for d := range groups {
		extra := min(len(groups[d])-counts[d], remaining)
		counts[d] += extra
		remaining -= extra
	}
	var out []Server
	for d := range groups {
		for _, r := range groups[d][:counts[d]] {
			out = append(out, r.server)
		}
	}
	return out
}

func groupByDistance(self datacentre.Place, selfHost host.ID, servers []Server) [distanceCount][]rankedServer {
	var groups [distanceCount][]rankedServer
	for _, s := range servers {
		if !s.usable() {
			continue
		}
		d := self.DistanceTo(s.Place)
		groups[d] = append(groups[d], rankedServer{server: s, score: score(selfHost, s.Host), distance: d})
	}
	for d := range groups {
		slices.SortFunc(groups[d], compareRankedServers)
	}
	return groups
}

func compareRankedServers(a, b rankedServer) int {
	if a.server.Suspect != b.server.Suspect {
		if a.server.Suspect {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server.Host, b.server.Host))
}

// score returns the rendezvous weight of a server for a sender.
func score(sender, server host.ID) uint64 {
	const separator = "\x00"
	return xxhash.Sum64String(string(sender) + separator + string(server))
}
