package spread

import (
	"errors"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/configservice"
	"boragefall/internal/wire"
)

// Waits between reads of the source.
const (
	// readerPause is the shortest time between two reads of a watching host, so
	// that a source that changes all the time is read in batches.
	readerPause = 250 * time.Millisecond
	// rereadEvery is the time between two reads of a watching host that compare
	// contents. A watch compares revisions, and a source that was restored and
	// written to may have reached the same revision again.
	rereadEvery = 15 * time.Second
	backoffBase = 500 * time.Millisecond
	backoffCap  = 10 * time.Second
	// cycleTimeout frees a read whose outcome never came.
	cycleTimeout = 30 * time.Second
)

// Role is how a node stands to the source.
type Role uint8

// Roles.
const (
	RoleStandby Role = iota // reads only when the source was not heard of
	RoleReader              // holds a watch
	RoleBooting             // holds nothing yet
)

var roleTexts = [...]string{"standby", "reader", "booting"}

// String returns the role as it stands in status pages.
func (r Role) String() string {
	return roleTexts[r]
}

// reading is the state of the reads of one document.
type reading struct {
	active  bool
	started time.Time
	next    time.Time // earliest start of the next read
	seen    uint64    // revision that the source gave last
	known   bool      // seen is set
	stale   bool      // what the source gave last is older than the floor
	reread  time.Time // when the next read compares contents, not revisions
	backoff configservice.Backoff
}

// source is the state of this node's reads of the source.
type source struct {
	reads     [len(kinds)]reading
	contact   time.Time // last good contact that any node is known to have had
	contacted bool
	started   time.Time
	bootRead  time.Time // first read of a node that no peer could help
	// epoch is that of the configuration that the source gave this node last.
	// It dates the host list, which states none.
	epoch     uint64
	dated     bool // epoch is set
	cycle     bool // the read under way is a standby's: both documents in turn
	nextCycle time.Time
	stepWait  time.Duration // jitter of the next step-up
}

func newSource(cfg Config, now time.Time) source {
	s := source{started: now, stepWait: cfg.StepUpRank}
	for i := range s.reads {
		s.reads[i].backoff = configservice.Backoff{Base: backoffBase, Cap: backoffCap}
	}
	return s
}

// heard notes a good contact with the source, by this node or another.
func (s *source) heard(at time.Time) {
	if !s.contacted || s.contact.Before(at) {
		s.contact = at
		s.contacted = true
	}
}

// age is the time since the last known good contact.
func (s *source) age(now time.Time) time.Duration {
	if !s.contacted {
		return now.Sub(s.started)
	}
	return now.Sub(s.contact)
}

func (m *Machine) role(now time.Time) (Role, int) {
	if m.lacking() {
		return RoleBooting, 0
	}
	rank := m.peers.rank(now)
	if rank < m.cfg.Readers {
		return RoleReader, rank
	}
	return RoleStandby, rank
}

// readSource starts the reads that are due.
func (m *Machine) readSource(now time.Time) {
	if m.boot.open {
		return
	}
	m.expireReads(now)
	switch role, rank := m.role(now); role {
	case RoleReader:
		for i := range m.source.reads {
			m.watch(now, i)
		}
	case RoleStandby:
		wait := m.cfg.StepUpAfter + time.Duration(rank)*m.cfg.StepUpRank + m.source.stepWait
		if m.source.age(now) > wait {
			m.startCycle(now)
		}
	case RoleBooting:
		if !m.helped() && !now.Before(m.source.bootRead) {
			m.startCycle(now)
		}
	}
}

// helped reports whether a peer is about to give each version that lacks.
func (m *Machine) helped() bool {
	for _, d := range m.documents {
		if d.current == nil && d.pull == nil && len(d.offers) == 0 {
			return false
		}
	}
	return true
}

// watch starts a watch of one document. The host list waits for its date.
func (m *Machine) watch(now time.Time, i int) {
	r := &m.source.reads[i]
	if r.active || now.Before(r.next) || (m.documents[i].kind == KindHostList && !m.source.dated) {
		return
	}
	r.next = now.Add(readerPause)
	m.read(now, i, m.cfg.WatchWait)
}

// startCycle reads both documents in turn, at most once per CycleEvery.
func (m *Machine) startCycle(now time.Time) {
	if now.Before(m.source.nextCycle) || m.source.reads[0].active || m.source.reads[1].active {
		return
	}
	m.source.nextCycle = now.Add(m.cfg.CycleEvery + m.jitter(m.cfg.CycleEvery/8))
	m.source.stepWait = m.jitter(m.cfg.StepUpRank)
	m.source.cycle = true
	m.counters.Cycles++
	m.read(now, 0, 0)
}

func (m *Machine) read(now time.Time, i int, wait time.Duration) {
	r := &m.source.reads[i]
	d := m.documents[i]
	r.active = true
	r.started = now
	m.counters.Reads++
	if !r.known || !now.Before(r.reread) {
		wait = 0
		r.reread = now.Add(rereadEvery)
	}
	m.emit(ReadSource{Kind: d.kind, Wait: wait, After: r.seen, Held: d.current.files()})
}

// expireReads frees reads whose outcome was lost.
func (m *Machine) expireReads(now time.Time) {
	for i := range m.source.reads {
		if r := &m.source.reads[i]; r.active && now.Sub(r.started) > cycleTimeout {
			r.active = false
		}
	}
}

// SourceRead takes the files of a document as the source held them at one
// revision.
func (m *Machine) SourceRead(now time.Time, kind wire.DocumentKind, revision uint64, files []config.File) []Effect {
	i, ok := kindIndex(kind)
	if !ok {
		return m.drain()
	}
	r := &m.source.reads[i]
	r.seen, r.known = revision, true
	r.stale = !m.offerFromSource(now, m.documents[i], revision, files)
	m.readDone(now, i)
	return m.drain()
}

// SourceUnchanged takes the end of a watch without a change.
func (m *Machine) SourceUnchanged(now time.Time, kind wire.DocumentKind) []Effect {
	if i, ok := kindIndex(kind); ok {
		m.readDone(now, i)
	}
	return m.drain()
}

// SourceFailed takes the failure of a read.
func (m *Machine) SourceFailed(now time.Time, kind wire.DocumentKind, cause error) []Effect {
	i, ok := kindIndex(kind)
	if !ok {
		return m.drain()
	}
	r := &m.source.reads[i]
	r.active = false
	r.reread = time.Time{} // an outage may end in a restore
	r.next = now.Add(r.backoff.Next(m.random))
	m.source.cycle = false
	m.counters.SourceFailures++
	if errors.Is(cause, configservice.ErrOverLimit) {
		m.counters.SourceOverLimit++
	}
	return m.drain()
}

// readDone ends a good read. A source that gives what is older than the floor
// is no good contact.
func (m *Machine) readDone(now time.Time, i int) {
	r := &m.source.reads[i]
	r.active = false
	r.backoff.Reset()
	if !r.stale {
		m.source.heard(now)
	}
	if m.source.cycle && i == 0 {
		m.read(now, 1, 0)
		return
	}
	m.source.cycle = false
}

// offerFromSource applies a version that the source gave when it is newer. It
// reports false when the source is stale.
func (m *Machine) offerFromSource(now time.Time, d *document, revision uint64, files []config.File) bool {
	given := config.Version{Epoch: m.source.epoch, Revision: revision}
	hash := config.ManifestOf(files).Hash()
	if d.refusedFromSource(revision, hash) {
		return true
	}
	accepted, files, err := m.acceptFromSource(d.kind, given, files)
	if err != nil {
		m.reject(now, d, Rejection{Version: given, Hash: hash, FromSource: true, Reason: err.Error()})
		m.assumeEpoch(d)
		return true
	}
	if d.kind == KindConfig {
		m.setSourceEpoch(accepted.Version.Epoch)
	}
	if accepted.Version.Less(d.floor) {
		m.counters.StaleReads++
		return false
	}
	m.countConflict(d, accepted.Version, config.ManifestOf(files).Hash())
	if d.wants(accepted.Version) {
		m.apply(now, d, newBundle(d.kind, accepted.Version, files, d.current.packedFiles()), accepted)
	}
	return true
}

// acceptFromSource checks what the source gave and returns it with the files
// that spread.
func (m *Machine) acceptFromSource(kind wire.DocumentKind, given config.Version, files []config.File) (Accepted, []config.File, error) {
	if kind == KindHostList {
		pieces, err := CutHostList(given.Revision, files)
		if err != nil {
			return Accepted{}, nil, err
		}
		files = pieces
	}
	accepted, err := m.acceptor.Accept(kind, given, files)
	return accepted, files, err
}

// setSourceEpoch takes the epoch that dates the host lists of the source. After
// a change the list is read again, since its date has changed with it.
func (m *Machine) setSourceEpoch(epoch uint64) {
	if m.source.dated && m.source.epoch == epoch {
		return
	}
	m.source.epoch, m.source.dated = epoch, true
	m.source.reads[1].reread = time.Time{}
}

// assumeEpoch takes the epoch in force as the source's one, when the source
// gives no configuration that states another.
func (m *Machine) assumeEpoch(d *document) {
	if d.kind == KindConfig && !m.source.dated && d.current != nil {
		m.setSourceEpoch(d.current.Version.Epoch)
	}
}

func (m *Machine) countConflict(d *document, version config.Version, hash config.Hash) {
	if d.current != nil && d.current.Version == version && d.current.Hash != hash {
		m.counters.Conflicts++
	}
}

func kindIndex(kind wire.DocumentKind) (int, bool) {
	for i, k := range kinds {
		if k == kind {
			return i, true
		}
	}
	return 0, false
}
