package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"boragefall/internal/catalog"
	"boragefall/internal/control"
	"boragefall/internal/exchange"
	"boragefall/internal/link"
	"boragefall/internal/wire"
)

// errNoPeer reports that no other node is known.
var errNoPeer = eris.New("no other node is known")

// noticeTimeout bounds the telling of one peer about a broken run.
const noticeTimeout = time.Second

// neighbours finds the other nodes: each stands beside a server that the
// catalog lists, and all take links at the same port.
type neighbours struct {
	view     func() *catalog.View
	seeds    []string
	self     string // own link address
	linkPort string
	service  string
	control  *control.Client
	logger   *log.Logger
}

// addresses returns the link addresses of the nodes beside the servers that
// keep accepts.
func (n *neighbours) addresses(keep func(*catalog.Listing) bool) []string {
	var out []string
	seen := map[string]bool{n.self: true}
	for _, l := range n.view().Servers {
		address := net.JoinHostPort(l.IP(), n.linkPort)
		if !seen[address] && keep(l) {
			seen[address] = true
			out = append(out, address)
		}
	}
	return out
}

// Query asks one node, chosen at random, for its copy of the store.
func (n *neighbours) Query(ctx context.Context, revision uint64) ([]catalog.Item, []string, uint64, error) {
	candidates := n.addresses(func(*catalog.Listing) bool { return true })
	for _, seed := range n.seeds {
		if seed != n.self {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) == 0 {
		return nil, nil, 0, errNoPeer
	}
	address := candidates[rand.IntN(len(candidates))]
	answer, err := n.control.State(ctx, address, &wire.StateQuery{Revision: revision})
	if err != nil {
		return nil, nil, 0, err
	}
	items := make([]catalog.Item, 0, len(answer.GetItems()))
	for _, item := range answer.GetItems() {
		items = append(items, catalog.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision()})
	}
	return items, answer.GetKeys(), answer.GetRevision(), nil
}

// tellOfBrokenRun tells the other gates of the service that a server broke off
// a request.
func (n *neighbours) tellOfBrokenRun(fingerprint uint64) {
	for _, address := range n.addresses(func(l *catalog.Listing) bool { return l.Service == n.service }) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			notice := &wire.CrashNotice{Fingerprints: []uint64{fingerprint}}
			if err := n.control.CrashNotice(ctx, address, notice); err != nil {
				n.logger.Debug().Str("part", "gate").Str("peer", address).Err(err).Msg("peer not told of a broken run")
			}
		}()
	}
}

// streams serves what other nodes open on this node's links.
type streams struct {
	requests *exchange.Server
	hop      *LastHop
	poison   *poison
	catalog  *catalog.Catalog
	logger   *log.Logger
}

// ServeStream serves one stream. An opening of an unknown kind, which a newer
// peer may send, is left unanswered.
func (s *streams) ServeStream(ctx context.Context, _ link.Class, opening *wire.Opening, stream *link.Stream) {
	switch {
	case opening.GetRequest() != nil:
		s.requests.Serve(ctx, opening.GetRequest(), stream)
	case opening.GetStateQuery() != nil:
		s.reply(stream, s.state(opening.GetStateQuery().GetRevision()))
	case opening.GetBar() != nil:
		s.reply(stream, &wire.BarAnswer{HandedOver: s.hop.Bar(opening.GetBar().GetId())})
	case opening.GetCrashNotice() != nil:
		for _, fingerprint := range opening.GetCrashNotice().GetFingerprints() {
			s.poison.heard(fingerprint, time.Now())
		}
		s.reply(stream, &wire.CrashNotice{})
	}
}

func (s *streams) state(revision uint64) *wire.StateAnswer {
	items, keys, at := s.catalog.Since(revision)
	answer := &wire.StateAnswer{Revision: at, Keys: keys}
	for _, item := range items {
		answer.Items = append(answer.Items, &wire.StateItem{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return answer
}
