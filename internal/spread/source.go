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
	// minWatchInterval is the shortest time between two reads of a watching host, so
	// that a source that changes all the time is read in batches.
	minWatchInterval = 250 * time.Millisecond
	// contentReadInterval is the time between two reads of a watching host that compare
	// contents. A watch compares revisions, and a source that was restored and
	// written to may have reached the same revision again.
	contentReadInterval = 15 * time.Second
	backoffBase         = 500 * time.Millisecond
	backoffCap          = 10 * time.Second
	// lostReadTimeout frees a read whose outcome never came.
	lostReadTimeout = 30 * time.Second
)

// Role is how a node stands to the source.
type Role uint8

// Roles.
const (
	RoleStandby Role = iota // reads only when the source was not heard of
	RoleReader              // holds a watch
	RoleBooting             // holds nothing yet
)

var roleNames = [...]string{"standby", "reader", "booting"}

// String returns the role as it stands in status pages.
func (r Role) String() string {
	return roleNames[r]
}

// readState is the state of the reads of one document.
type readState struct {
	active          bool
	started         time.Time
	next            time.Time // earliest start of the next read
	lastRevision    uint64    // revision that the source gave last
	hasRevision     bool      // seen is set
	stale           bool      // what the source gave last is older than the floor
	nextContentRead time.Time // when the next read compares contents, not revisions
	backoff         configservice.Backoff
}

// sourceState is the state of this node's reads of the sourceState.
type sourceState struct {
	reads       [len(kinds)]readState
	lastContact time.Time // last good contact that any node is known to have had
	contacted   bool
	started     time.Time
	firstReadAt time.Time // first read of a node that no peer could help
	// epoch is that of the configuration that the source gave this node last.
	// It dates the host list, which states none.
	epoch         uint64
	epochKnown    bool // epoch is set
	fullRead      bool // the read under way is a standby's: both documents in turn
	nextFullRead  time.Time
	standbyJitter time.Duration // jitter of the next step-up
}

func newSource(cfg Config, now time.Time) sourceState {
	s := sourceState{started: now, standbyJitter: cfg.StandbyRankDelay}
	for i := range s.reads {
		s.reads[i].backoff = configservice.Backoff{Base: backoffBase, Cap: backoffCap}
	}
	return s
}

// recordContact notes a good contact with the source, by this node or another.
func (s *sourceState) recordContact(at time.Time) {
	if !s.contacted || s.lastContact.Before(at) {
		s.lastContact = at
		s.contacted = true
	}
}

// age is the time since the last known good contact.
func (s *sourceState) age(now time.Time) time.Duration {
	if !s.contacted {
		return now.Sub(s.started)
	}
	return now.Sub(s.lastContact)
}

func (m *Machine) role(now time.Time) (Role, int) {
	if m.incomplete() {
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
	if m.boot.active {
		return
	}
	m.expireReads(now)
	switch role, rank := m.role(now); role {
	case RoleReader:
		for i := range m.source.reads {
			m.startWatch(now, i)
		}
	case RoleStandby:
		wait := m.cfg.StandbyReadAfter + time.Duration(rank)*m.cfg.StandbyRankDelay + m.source.standbyJitter
		if m.source.age(now) > wait {
			m.startFullRead(now)
		}
	case RoleBooting:
		if !m.peersCanSupply() && !now.Before(m.source.firstReadAt) {
			m.startFullRead(now)
		}
	}
}

// peersCanSupply reports whether a peer is about to give each version that lacks.
func (m *Machine) peersCanSupply() bool {
	for _, d := range m.documents {
		if d.current == nil && d.pull == nil && len(d.offers) == 0 {
			return false
		}
	}
	return true
}

// startWatch starts a startWatch of one document. The host list waits for its date.
func (m *Machine) startWatch(now time.Time, i int) {
	r := &m.source.reads[i]
	if r.active || now.Before(r.next) || (m.documents[i].kind == KindHostList && !m.source.epochKnown) {
		return
	}
	r.next = now.Add(minWatchInterval)
	m.startRead(now, i, m.cfg.WatchWait)
}

// startFullRead reads both documents in turn, at most once per CycleEvery.
func (m *Machine) startFullRead(now time.Time) {
	if now.Before(m.source.nextFullRead) || m.source.reads[0].active || m.source.reads[1].active {
		return
	}
	m.source.nextFullRead = now.Add(m.cfg.FullReadInterval + m.jitter(m.cfg.FullReadInterval/8))
	m.source.standbyJitter = m.jitter(m.cfg.StandbyRankDelay)
	m.source.fullRead = true
	m.counters.Cycles++
	m.startRead(now, 0, 0)
}

func (m *Machine) startRead(now time.Time, i int, wait time.Duration) {
	r := &m.source.reads[i]
	d := m.documents[i]
	r.active = true
	r.started = now
	m.counters.Reads++
	if !r.hasRevision || !now.Before(r.nextContentRead) {
		wait = 0
		r.nextContentRead = now.Add(contentReadInterval)
	}
	m.emit(ReadSource{Kind: d.kind, Wait: wait, After: r.lastRevision, Held: d.current.files()})
}

// expireReads frees reads whose outcome was lost.
func (m *Machine) expireReads(now time.Time) {
	for i := range m.source.reads {
		if r := &m.source.reads[i]; r.active && now.Sub(r.started) > lostReadTimeout {
			r.active = false
		}
	}
}

// SourceRead takes the files of a document as the source held them at one
// revision.
func (m *Machine) SourceRead(now time.Time, kind wire.DocumentKind, revision uint64, files []config.File) []Effect {
	i, ok := kindIndex(kind)
	if !ok {
		return m.takeEffects()
	}
	r := &m.source.reads[i]
	r.lastRevision, r.hasRevision = revision, true
	r.stale = !m.processSourceVersion(now, m.documents[i], revision, files)
	m.finishRead(now, i)
	return m.takeEffects()
}

// SourceUnchanged takes the end of a watch without a change.
func (m *Machine) SourceUnchanged(now time.Time, kind wire.DocumentKind) []Effect {
	if i, ok := kindIndex(kind); ok {
		m.finishRead(now, i)
	}
	return m.takeEffects()
}

// SourceFailed takes the failure of a read.
func (m *Machine) SourceFailed(now time.Time, kind wire.DocumentKind, cause error) []Effect {
	i, ok := kindIndex(kind)
	if !ok {
		return m.takeEffects()
	}
	r := &m.source.reads[i]
	r.active = false
	r.nextContentRead = time.Time{} // an outage may end in a restore
	r.next = now.Add(r.backoff.Next(m.random))
	m.source.fullRead = false
	m.counters.SourceFailures++
	if errors.Is(cause, configservice.ErrOverLimit) {
		m.counters.SourceOverLimit++
	}
	return m.takeEffects()
}

// finishRead ends a good read. A source that gives what is older than the floor
// is no good contact.
func (m *Machine) finishRead(now time.Time, i int) {
	r := &m.source.reads[i]
	r.active = false
	r.backoff.Reset()
	if !r.stale {
		m.source.recordContact(now)
	}
	if m.source.fullRead && i == 0 {
		m.startRead(now, 1, 0)
		return
	}
	m.source.fullRead = false
}

// processSourceVersion applies a version that the source gave when it is newer. It
// reports false when the source is stale.
func (m *Machine) processSourceVersion(now time.Time, d *document, revision uint64, files []config.File) bool {
	given := config.Version{Epoch: m.source.epoch, Revision: revision}
	hash := config.ManifestOf(files).Hash()
	if d.isRejectedFromSource(revision, hash) {
		return true
	}
	accepted, files, err := m.validateFromSource(d.kind, given, files)
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
	if d.shouldReplace(accepted.Version) {
		m.apply(now, d, newBundle(d.kind, accepted.Version, files, d.current.packedFiles()), accepted)
	}
	return true
}

// validateFromSource checks what the source gave and returns it with the files
// that spread.
func (m *Machine) validateFromSource(kind wire.DocumentKind, given config.Version, files []config.File) (ValidDocument, []config.File, error) {
	if kind == KindHostList {
		pieces, err := SplitHostList(given.Revision, files)
		if err != nil {
			return ValidDocument{}, nil, err
		}
		files = pieces
	}
	accepted, err := m.validator.Validate(kind, given, files)
	return accepted, files, err
}

// setSourceEpoch takes the epoch that dates the host lists of the source. After
// a change the list is read again, since its date has changed with it.
func (m *Machine) setSourceEpoch(epoch uint64) {
	if m.source.epochKnown && m.source.epoch == epoch {
		return
	}
	m.source.epoch, m.source.epochKnown = epoch, true
	m.source.reads[1].nextContentRead = time.Time{}
}

// assumeEpoch takes the epoch in force as the source's one, when the source
// gives no configuration that states another.
func (m *Machine) assumeEpoch(d *document) {
	if d.kind == KindConfig && !m.source.epochKnown && d.current != nil {
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
