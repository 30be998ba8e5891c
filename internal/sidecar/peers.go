package sidecar

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"boragefall/internal/bootclock"
	"boragefall/internal/catalog"
	"boragefall/internal/control"
	"boragefall/internal/copytree"
	"boragefall/internal/exchange"
	"boragefall/internal/feed"
	"boragefall/internal/link"
	"boragefall/internal/transfer"
	"boragefall/internal/wire"
)

// errNoPeer reports that no other node is known.
var errNoPeer = eris.New("no other node is known")

// peerDirectory finds the other nodes: each runs beside a server that the catalog
// lists, and all accept links on the same port.
type peerDirectory struct {
	*copytree.Selector
	view     func() *catalog.View
	self     string // link address of this node
	linkPort string
	service  string
	control  *control.Client
	// dataCentre is this node's own; transfers counts bytes to and from others.
	dataCentre string
	transfers  transfer.Meter
	logger     *log.Logger
}

// addresses returns the link addresses of the nodes beside the servers that include
// accepts.
func (n *peerDirectory) addresses(include func(*catalog.Listing) bool) []string {
	var out []string
	seen := map[string]bool{n.self: true}
	for _, l := range n.view().Servers {
		address := net.JoinHostPort(l.IP(), n.linkPort)
		if !seen[address] && include(l) {
			seen[address] = true
			out = append(out, address)
		}
	}
	return out
}

// dataCentreOf returns the data centre of the node at a link address.
func (n *peerDirectory) dataCentreOf(address string) (string, bool) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", false
	}
	for _, l := range n.view().Servers {
		if l.IP() == ip {
			return l.DataCentre, true
		}
	}
	return "", false
}

// serviceNodes returns the link addresses of the other nodes beside servers of this node's
// service.
func (n *peerDirectory) serviceNodes() []string {
	return n.addresses(func(l *catalog.Listing) bool { return l.Service == n.service })
}

// update applies a new view of the mesh.
func (n *peerDirectory) update(v *catalog.View) {
	var members []copytree.Member
	seen := map[string]bool{}
	for _, l := range v.Servers {
		address := net.JoinHostPort(l.IP(), n.linkPort)
		if !seen[address] {
			seen[address] = true
			members = append(members, copytree.Member{Address: address, DataCentre: l.DataCentre})
		}
	}
	n.SetMembers(members)
}

// Follow requests the changes of a node's copy of the store after a version.
func (n *peerDirectory) Follow(ctx context.Context, address string, version catalog.Version, wait time.Duration) (feed.PeerState, error) {
	query := &wire.StateQuery{Era: version.Era, Revision: version.Revision, WaitMillis: uint32(wait.Milliseconds())}
	answer, err := n.control.State(ctx, address, query)
	if err != nil {
		return feed.PeerState{}, err
	}
	if place, known := n.dataCentreOf(address); known && place != n.dataCentre {
		n.transfers.RecordState(int64(proto.Size(query) + proto.Size(answer)))
	}
	items, err := decodeState(answer)
	if err != nil {
		return feed.PeerState{}, err
	}
	state := feed.PeerState{
		Changes: catalog.Changes{
			Items: items, Complete: answer.GetComplete(), Gapless: answer.GetGapless(), Version: versionOf(answer),
		},
		Age: time.Duration(answer.GetAgeMillis()) * time.Millisecond,
	}
	if answer.ProvenAgeMillis != nil {
		state.Proof = &feed.PeerProof{
			Age:  time.Duration(answer.GetProvenAgeMillis()) * time.Millisecond,
			Held: time.Duration(answer.GetHeldMillis()) * time.Millisecond,
		}
	}
	return state, nil
}

// Query requests the copy of the store that one other node holds.
func (n *peerDirectory) Query(ctx context.Context, version catalog.Version) (feed.PeerState, error) {
	address, ok := n.QueryTarget()
	if !ok {
		return feed.PeerState{}, errNoPeer
	}
	return n.Follow(ctx, address, version, 0)
}

// streamServer serves the streams that other nodes open on this node's links.
type streamServer struct {
	requests *exchange.Server
	// serving counts the requests in progress.
	serving *atomic.Int64
	// bootMillis is the boot time of this process, sent in fence answers.
	bootMillis int64
	hop        *LastHop
	crashes    *crashTracker
	catalog    *catalog.Catalog
	feed       *feed.Feed
	quotas     *quotaLedger
	encoder    *stateEncoder
	// olderEras are the peers that ask from an older era of the store.
	olderEras *olderEraPeers
	logger    *log.Logger
}

// ServeStream serves one stream. It leaves an opening of an unknown kind, which a newer
// peer may send, unanswered.
func (s *streamServer) ServeStream(ctx context.Context, _ link.Class, opening *wire.Opening, stream *link.Stream) {
	switch {
	case opening.GetRequest() != nil:
		s.serving.Add(1)
		defer s.serving.Add(-1)
		s.requests.Serve(ctx, opening.GetRequest(), stream)
	case opening.GetStateQuery() != nil:
		s.reply(stream, s.stateAnswer(ctx, opening.GetStateQuery(), stream.PeerAddress()))
	case opening.GetBar() != nil:
		s.reply(stream, &wire.BarAnswer{HandedOver: s.hop.Fence(opening.GetBar().GetId()), BootMillis: s.bootMillis})
	case opening.GetCreditRequest() != nil:
		s.reply(stream, s.quotas.answer(opening.GetCreditRequest()))
	case opening.GetCrashNotice() != nil:
		now := time.Now()
		s.crashes.applyNotice(decodeCrashNotice(opening.GetCrashNotice(), now))
		s.reply(stream, encodeCrashNotice(crashNotice{quarantined: s.crashes.quarantinedRequests(now)}, now))
	}
}

// RefuseStream refuses a request that has no place. The node that asks for anything else
// tries again.
func (s *streamServer) RefuseStream(class link.Class, stream *link.Stream) error {
	if class != link.ClassRequest {
		return nil
	}
	return s.requests.Refuse(stream)
}

// maxStateWait bounds the wait of a query, which holds a stream; nodes ask for some seconds.
const maxStateWait = time.Minute

// stateAnswer answers as soon as a version newer than the query's is known, or when
// the query's wait time has passed. peer is the address of the asking node's link.
func (s *streamServer) stateAnswer(ctx context.Context, query *wire.StateQuery, peer string) *wire.StateAnswer {
	arrivedAt := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(query.GetWaitMillis())*time.Millisecond, maxStateWait))
	defer cancel()
	asked := s.olderEras.adjust(peer, versionOf(query), s.catalog.Version())
	s.catalog.Await(ctx, asked)
	// The ages are read before the items, which may therefore only be newer.
	before := s.catalog.Version()
	answer := &wire.StateAnswer{
		AgeMillis:  millisRoundedUp(s.feed.Age(time.Now())),
		HeldMillis: uint32((bootclock.Now() - arrivedAt).Milliseconds()),
	}
	age, proven := s.feed.ProvenAge()
	changes := catalog.Changes{Version: s.catalog.Version()}
	if changes.Version.IsNewerThan(asked) {
		changes = s.catalog.ChangesSince(asked)
	} else if asked.Era > query.GetEra() && asked.Revision > changes.Version.Revision {
		// A copy of the same store at a greater revision is of an older era.
		return &wire.StateAnswer{AgeMillis: answer.GetAgeMillis()}
	}
	if proven && changes.Version.Era == before.Era {
		answer.ProvenAgeMillis = proto.Uint32(millisRoundedUp(age))
	}
	answer.Era, answer.Revision = changes.Version.Era, changes.Version.Revision
	answer.Complete, answer.Gapless = changes.Complete, changes.Gapless
	if err := s.fillItems(answer, changes); err != nil {
		// Without the items the answer would be wrong, so the answer reports no change.
		s.logger.Error().Str("part", "feed").Err(err).Msg("failed to encode the state for a peer")
		return &wire.StateAnswer{AgeMillis: answer.GetAgeMillis()}
	}
	return answer
}

// millisRoundedUp returns a duration in whole milliseconds, never less than it is.
func millisRoundedUp(d time.Duration) uint32 {
	return uint32(min((d + time.Millisecond - 1).Milliseconds(), math.MaxUint32))
}

// fillItems adds the items of changes to an answer.
func (s *streamServer) fillItems(answer *wire.StateAnswer, changes catalog.Changes) error {
	var err error
	if changes.Complete {
		answer.PackedItems, err = s.encoder.encodeState(changes.Items, changes.Version)
		return err
	}
	for _, item := range changes.Items {
		message, err := s.encoder.encodeItem(item)
		if err != nil {
			return err
		}
		answer.Items = append(answer.Items, message)
	}
	return nil
}
