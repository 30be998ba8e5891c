package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragefall/internal/datacentre"
	"boragefall/internal/host"
)

// suspicionTimeout is how long a peer is avoided after a failure.
const suspicionTimeout = 10 * time.Second

// bootPeerOneIn determines how often an anti-entropy peer is a boot peer: one in this
// many. It lets a fleet whose host list contains only failed hosts reconnect.
const bootPeerOneIn = 8

// backupReaders is the number of hosts ranked after the readers that monitor the readers.
const backupReaders = 2

// distanceCount is the number of datacentre.Distance values.
const distanceCount = 3

// distanceWeights holds, for each distance, the probability in percent that a random peer
// is chosen at that distance.
var distanceWeights = [distanceCount]int{60, 25, 15}

// peers holds the peers that this node can gossip with. It is not safe for concurrent
// use.
type peers struct {
	self         host.Listing
	boot         []string
	byID         map[host.ID]host.Listing
	suspects     map[string]time.Time // address -> end of suspicion
	byDistance   [distanceCount][]host.Listing
	higherRanked []string // hosts of the own data centre that rank before self by rendezvous hash
}

func newPeers(self host.Listing, boot []string) *peers {
	p := &peers{self: self, suspects: map[string]time.Time{}}
	for _, address := range boot {
		if address != self.Address {
			p.boot = append(p.boot, address)
		}
	}
	p.setHosts(nil)
	return p
}

// setHosts replaces the known hosts and groups them by distance.
func (p *peers) setHosts(listings []host.Listing) {
	p.byID = make(map[host.ID]host.Listing, len(listings))
	p.byDistance = [distanceCount][]host.Listing{}
	p.higherRanked = nil
	for _, l := range listings {
		if l.ID == p.self.ID || l.Address == "" {
			continue
		}
		if _, known := p.byID[l.ID]; known {
			continue
		}
		p.byID[l.ID] = l
		distance := p.self.Place.DistanceTo(l.Place)
		p.byDistance[distance] = append(p.byDistance[distance], l)
		centre := p.self.Place.DataCentre
		if l.Place.DataCentre == centre && readerScore(centre, l.ID) > readerScore(centre, p.self.ID) {
			p.higherRanked = append(p.higherRanked, l.Address)
		}
	}
}

func (p *peers) address(id host.ID) string {
	return p.byID[id].Address
}

func (p *peers) markFailed(now time.Time, address string) {
	maps.DeleteFunc(p.suspects, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.suspects[address] = now.Add(suspicionTimeout)
}

func (p *peers) markAnswered(address string) {
	delete(p.suspects, address)
}

func (p *peers) isSuspect(now time.Time, address string) bool {
	until, ok := p.suspects[address]
	if ok && !now.Before(until) {
		delete(p.suspects, address)
		return false
	}
	return ok
}

// antiEntropyPeer returns a random peer for anti-entropy, or "" when there is none. The
// backup readers choose a higher-ranked host half of the time, so that they soon detect
// the failure of a reader.
func (p *peers) antiEntropyPeer(now time.Time, random *rand.Rand, readers int) string {
	if len(p.higherRanked) > 0 && p.rank(now) < readers+backupReaders && random.IntN(2) == 0 {
		return p.higherRanked[random.IntN(len(p.higherRanked))]
	}
	if len(p.boot) > 0 && (len(p.byID) == 0 || random.IntN(bootPeerOneIn) == 0) {
		return p.boot[random.IntN(len(p.boot))]
	}
	return p.pick(now, random, nil)
}

// fanout returns up to n random peers, with a preference for near ones. They include one
// peer in another data centre and one in another region when there are any.
func (p *peers) fanout(now time.Time, random *rand.Rand, n int) []string {
	var chosen []string
	for _, distance := range [...]datacentre.Distance{datacentre.OtherRegion, datacentre.SameRegion} {
		if address := p.pickAtDistance(now, random, distance, chosen); address != "" {
			chosen = append(chosen, address)
		}
	}
	for len(chosen) < n {
		address := p.pick(now, random, chosen)
		if address == "" {
			break
		}
		chosen = append(chosen, address)
	}
	if len(p.byID) == 0 {
		chosen = append(chosen, sample(p.boot, random, n)...)
	}
	return chosen
}

// pick chooses a distance by weight and returns a peer at that distance, or at the next
// one that has peers.
func (p *peers) pick(now time.Time, random *rand.Rand, exclude []string) string {
	pick := random.IntN(100)
	first := 0
	for first < distanceCount-1 && pick >= distanceWeights[first] {
		pick -= distanceWeights[first]
		first++
	}
	for i := range distanceCount {
		distance := datacentre.Distance((first + i) % distanceCount)
		if address := p.pickAtDistance(now, random, distance, exclude); address != "" {
			return address
		}
	}
	return ""
}

// pickAtDistance returns a random peer at a distance: an unsuspected one if a few attempts
// find one, else a suspected one.
func (p *peers) pickAtDistance(now time.Time, random *rand.Rand, distance datacentre.Distance, exclude []string) string {
	const attempts = 6
	group := p.byDistance[distance]
	if len(group) == 0 {
		return ""
	}
	fallback := ""
	for range attempts {
		address := group[random.IntN(len(group))].Address
		if slices.Contains(exclude, address) {
			continue
		}
		if !p.isSuspect(now, address) {
			return address
		}
		fallback = address
	}
	return fallback
}

// rank returns this node's rank among the unsuspected hosts of its data centre by
// rendezvous hash; 0 is the highest.
func (p *peers) rank(now time.Time) int {
	rank := 0
	for _, address := range p.higherRanked {
		if !p.isSuspect(now, address) {
			rank++
		}
	}
	return rank
}

// readerScore is the rendezvous score (highest random weight) of a host as a
// reader of its data centre.
func readerScore(centre datacentre.ID, id host.ID) uint64 {
	return xxhash.Sum64String("reader\x00" + string(centre) + "\x00" + string(id))
}

func sample(addresses []string, random *rand.Rand, n int) []string {
	shuffled := slices.Clone(addresses)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}
