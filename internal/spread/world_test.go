package spread

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/datacentre"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// fataler is the common subset of *testing.T and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// testDocument is the configuration document in these tests.
type testDocument struct {
	Epoch uint64 `json:"epoch"`
	Bad   bool   `json:"bad"`
	Text  string `json:"text"`
}

// testValidator validates testDocument files, and host lists like BuildValidator.
type testValidator struct{}

func (testValidator) Validate(kind wire.DocumentKind, given config.Version, files []config.File) (ValidDocument, error) {
	if kind == KindHostList {
		return BuildValidator{}.Validate(kind, given, files)
	}
	document := testDocument{}
	for _, f := range files {
		if err := json.Unmarshal(f.Data, &document); err != nil {
			return ValidDocument{}, err
		}
	}
	if document.Bad {
		return ValidDocument{}, errors.New("bad document")
	}
	version := config.Version{Epoch: document.Epoch, Revision: given.Revision}
	return ValidDocument{Version: version, Snapshot: &config.Snapshot{Version: version}}, nil
}

// fakeSource is a fake platform with one folder per document kind. It may be unavailable,
// stale or restored from a backup.
type fakeSource struct {
	unavailable bool
	stale       *[len(kinds)]configservice.Folder // served instead of folders
	folders     [len(kinds)]configservice.Folder
	accepted    map[string]bool // kind, version and hash of each valid folder
	newest      [len(kinds)]config.Version
}

func (s *fakeSource) publish(i int, f configservice.Folder) {
	s.folders[i] = f
	v, ok := s.version(i)
	if !ok {
		return
	}
	s.accepted[keyOf(i, v, spreadFiles(i, f))] = true
	if s.newest[i].Less(v) {
		s.newest[i] = v
	}
}

// version returns the version of a document at the source, and false when it is invalid.
func (s *fakeSource) version(i int) (config.Version, bool) {
	given := config.Version{Revision: s.folders[i].Revision}
	if i > 0 {
		dated, _ := s.version(0)
		given.Epoch = dated.Epoch
	}
	got, err := testValidator{}.Validate(kinds[i], given, spreadFiles(i, s.folders[i]))
	return got.Version, err == nil
}

// spreadFiles returns the files that are distributed for a folder of the source.
func spreadFiles(i int, f configservice.Folder) []config.File {
	if i == 0 {
		return f.Files
	}
	shards, _ := SplitHostList(f.Revision, f.Files)
	return shards
}

// keyOf returns a key for a version and its bytes, which for a host list omits the epoch.
func keyOf(i int, v config.Version, files []config.File) string {
	if i > 0 {
		v.Epoch = 0
	}
	return fmt.Sprint(i, v, config.ManifestOf(files).Hash())
}

func (s *fakeSource) folder(i int) configservice.Folder {
	if s.stale != nil {
		return s.stale[i]
	}
	return s.folders[i]
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// ownRecord is a Records with only the node's own record.
type ownRecord struct {
	self host.Listing
	noRecords
}

func (i ownRecord) AddOwnRecord(out *wire.Gossip) {
	out.Records = append(out.Records, &wire.HostRecord{Host: string(i.self.ID), Address: i.self.Address})
}

// process is one run of a node, from its start to its end.
type process struct {
	m         *Machine
	applied   [len(kinds)]config.Version
	announced [len(kinds)]config.Version // newest versions announced by peers that responded
	fullReads []time.Time
	watches   []time.Time
}

type testNode struct {
	listing           host.Listing
	process           *process // nil when the node is down
	pausedUntil       time.Time
	group             int // nodes of different groups can't communicate
	sourceUnreachable bool
}

// world simulates machines on a fake network in virtual time.
type world struct {
	t         fataler
	now       time.Time
	random    *rand.Rand
	queue     eventQueue
	sequence  int
	nodes     []*testNode
	byAddress map[string]*testNode // nodes by address
	source    *fakeSource
	loss      int // message loss in percent
	delay     time.Duration
	reads     int
	configure func(*Config, host.Listing)
	// published counts configuration folders and makes the content of each unique.
	published int
}

const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = time.Second
)

func newWorld(t fataler, seed uint64, nodes, centres int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		delay: 5 * time.Millisecond, byAddress: map[string]*testNode{},
		source: &fakeSource{accepted: map[string]bool{}},
	}
	for i := range nodes {
		centre := i % centres
		w.nodes = append(w.nodes, &testNode{listing: host.Listing{
			ID:      host.ID(fmt.Sprintf("h%04d", i)),
			Address: fmt.Sprintf("10.%d.%d.%d:7000", centre, i/250, i%250),
			Place: datacentre.Place{
				Region: datacentre.Region(fmt.Sprint("r", centre%2)), DataCentre: datacentre.ID(fmt.Sprint("c", centre)),
			},
		}})
	}
	for _, n := range w.nodes {
		w.byAddress[n.listing.Address] = n
	}
	w.publishConfig(10, testDocument{})
	w.publishHosts(10)
	return w
}

func (w *world) publishConfig(revision uint64, d testDocument) {
	w.published++
	d.Text = fmt.Sprint("text ", w.published)
	data, _ := json.Marshal(d)
	w.source.publish(0, configservice.Folder{Revision: revision, Files: []config.File{
		{Name: "10-a.json", Data: []byte(`{"text":"base"}`)}, {Name: "20-b.json", Data: data},
	}})
}

func (w *world) publishHosts(revision uint64) {
	list := host.List{Revision: revision}
	for _, n := range w.nodes {
		list.Hosts = append(list.Hosts, n.listing)
	}
	list.Sort()
	data, _ := json.Marshal(list)
	w.source.publish(1, configservice.Folder{Revision: revision, Files: []config.File{{Name: configservice.HostListFile, Data: data}}})
}

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now.Add(d), sequence: w.sequence, do: do})
}

// run advances virtual time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// start starts a new process of a node, with all nodes as boot peers.
func (w *world) start(n *testNode) {
	cfg := Config{Records: ownRecord{n.listing, noRecords{}}}
	for _, other := range w.nodes {
		cfg.BootPeers = append(cfg.BootPeers, other.listing.Address)
	}
	if w.configure != nil {
		w.configure(&cfg, n.listing)
	}
	p := &process{m: NewMachine(cfg, n.listing, testValidator{}, rand.New(rand.NewPCG(w.random.Uint64(), 2)), w.now)}
	n.process = p
	n.pausedUntil = time.Time{}
	var tick func()
	tick = func() {
		w.input(n, p, func() []Effect { return p.m.Tick(w.now) })
		if n.process == p {
			w.after(tickInterval, tick)
		}
	}
	w.after(time.Duration(w.random.Int64N(int64(tickInterval))), tick)
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		w.start(n)
	}
}

// input passes an input to a process, after its pause if it is paused.
func (w *world) input(n *testNode, p *process, do func() []Effect) {
	if n.process != p {
		return
	}
	if w.now.Before(n.pausedUntil) {
		w.after(n.pausedUntil.Sub(w.now), func() { w.input(n, p, do) })
		return
	}
	for _, e := range do() {
		w.execute(n, p, e)
	}
}

func (w *world) execute(n *testNode, p *process, e Effect) {
	switch e := e.(type) {
	case SendGossip:
		w.exchange(n, p, e.Address,
			func(to *process) any {
				reply, effects := to.m.GossipReceived(w.now, proto.CloneOf(e.Message))
				for _, more := range effects {
					w.execute(w.byAddress[e.Address], to, more)
				}
				return reply
			},
			func(reply any) []Effect {
				w.recordAnnounced(p, reply.(*wire.Gossip))
				return p.m.GossipAnswered(w.now, e.Address, reply.(*wire.Gossip))
			},
			func() []Effect { return p.m.PeerFailed(w.now, e.Address) })
	case SendPull:
		w.exchange(n, p, e.Address,
			func(to *process) any { return to.m.HandlePullRequest(w.now, e.Message) },
			func(answer any) []Effect {
				return p.m.HandlePullAnswer(w.now, e.ID, w.corrupt(answer.(*wire.PullAnswer)))
			},
			func() []Effect { return p.m.HandlePullFailure(w.now, e.ID) })
	case ReadSource:
		w.readSource(n, p, e)
	case Apply:
		w.checkApply(n, p, e)
	}
}

// exchange delivers a message and returns its answer, with loss, delay, duplication and
// partitions.
func (w *world) exchange(n *testNode, p *process, address string, deliver func(*process) any, back func(any) []Effect, failed func() []Effect) {
	fail := func() { w.input(n, p, failed) }
	if w.lost() {
		w.after(callTimeout, fail)
		return
	}
	w.after(w.latency(), func() {
		to := w.byAddress[address]
		if to == nil || to.process == nil || to.group != n.group || w.now.Before(to.pausedUntil) {
			w.after(callTimeout, fail)
			return
		}
		answer := deliver(to.process)
		if w.lost() {
			w.after(callTimeout, fail)
			return
		}
		copies := 1
		if w.loss > 0 && w.random.IntN(10) == 0 {
			copies = 2
		}
		for range copies {
			w.after(w.latency(), func() { w.input(n, p, func() []Effect { return back(answer) }) })
		}
	})
}

// corrupt randomly changes a byte of some files while messages are lost.
func (w *world) corrupt(answer *wire.PullAnswer) *wire.PullAnswer {
	answer = proto.CloneOf(answer)
	for _, f := range answer.GetFiles() {
		if w.lost() && len(f.Data) > 0 {
			f.Data[w.random.IntN(len(f.Data))] ^= 1
		}
	}
	return answer
}

func (w *world) lost() bool { return w.random.IntN(100) < w.loss }

func (w *world) latency() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(w.delay)))
}

func (w *world) readSource(n *testNode, p *process, e ReadSource) {
	w.reads++
	i, _ := kindIndex(e.Kind)
	switch started := int(p.m.counters.Cycles); {
	case started > len(p.fullReads):
		p.fullReads = append(p.fullReads, w.now)
	case !p.m.source.fullRead:
		p.watches = append(p.watches, w.now)
	}
	w.checkReads(n, p)
	deadline := w.now.Add(e.Wait)
	var poll func()
	poll = func() {
		folder := w.source.folder(i)
		switch {
		case w.source.unavailable || n.sourceUnreachable:
			w.input(n, p, func() []Effect { return p.m.SourceFailed(w.now, e.Kind, configservice.ErrUnavailable) })
		case e.Wait == 0 || folder.Revision != e.After:
			w.input(n, p, func() []Effect { return p.m.SourceRead(w.now, e.Kind, folder.Revision, folder.Files) })
		case !w.now.Before(deadline):
			w.input(n, p, func() []Effect { return p.m.SourceUnchanged(w.now, e.Kind) })
		default:
			w.after(20*time.Millisecond, poll)
		}
	}
	w.after(w.latency(), poll)
}

// recordAnnounced records the versions that peers announced before the first apply.
func (w *world) recordAnnounced(p *process, reply *wire.Gossip) {
	for _, d := range reply.GetDocuments() {
		i, _ := kindIndex(d.GetKind())
		if v := versionFromWire(d.GetVersion()); p.applied[i].IsZero() && p.announced[i].Less(v) {
			p.announced[i] = v
		}
	}
}

// checkApply checks the guarantees for an applied version.
func (w *world) checkApply(n *testNode, p *process, e Apply) {
	i, _ := kindIndex(e.Bundle.Kind)
	v := e.Bundle.Version
	if !p.applied[i].Less(v) {
		w.t.Fatalf("%s reverted from version %v to %v", n.listing.ID, p.applied[i], v)
	}
	if p.applied[i].IsZero() && v.Less(p.announced[i]) {
		w.t.Fatalf("%s started with version %v, but a peer had announced %v", n.listing.ID, v, p.announced[i])
	}
	if !w.source.accepted[keyOf(i, v, e.Bundle.Files)] {
		w.t.Fatalf("%s applied bytes of version %v that were never published", n.listing.ID, v)
	}
	p.applied[i] = v
}

// checkReads checks the rate limits of a process's source reads.
func (w *world) checkReads(n *testNode, p *process) {
	if c := p.fullReads; len(c) > 1 && c[len(c)-1].Sub(c[len(c)-2]) < defaultFullReadInterval {
		w.t.Fatalf("%s made two full reads within %v", n.listing.ID, c[len(c)-1].Sub(c[len(c)-2]))
	}
	const perSecond = 2 * int(time.Second/minWatchInterval)
	if c := p.watches; len(c) > perSecond && c[len(c)-1].Sub(c[len(c)-1-perSecond]) < time.Second {
		w.t.Fatalf("%s started more than %d watches within a second", n.listing.ID, perSecond)
	}
}

// behind returns the live nodes that have not applied the newest valid versions.
func (w *world) behind() []host.ID {
	var out []host.ID
	for _, n := range w.nodes {
		if n.process != nil && n.process.applied != w.source.newest {
			out = append(out, n.listing.ID)
		}
	}
	return out
}

// settle runs until no live node is behind, and returns the elapsed time.
func (w *world) settle(limit time.Duration) time.Duration {
	return w.settleAt(limit, func() [len(kinds)]config.Version { return w.source.newest })
}

// settleAt is like settle, but for versions other than the newest published ones.
func (w *world) settleAt(limit time.Duration, newest func() [len(kinds)]config.Version) time.Duration {
	start := w.now
	for w.source.newest = newest(); len(w.behind()) > 0; w.source.newest = newest() {
		if w.now.Sub(start) >= limit {
			w.t.Fatalf("after %v these nodes are still behind: %v", limit, w.behind())
		}
		w.run(tickInterval)
	}
	return w.now.Sub(start)
}
