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
	// minWatchInterval is the minimum time between two reads of a watching host, so that
	// frequent changes of the source are read in batches.
	minWatchInterval = 250 * time.Millisecond
	// contentReadInterval is the time between two reads of a watching host that compare
	// contents. A watch compares revisions only, and a source that was restored from a
	// backup and then written to may reach the same revision with other contents.
	contentReadInterval = 15 * time.Second
	backoffBase         = 500 * time.Millisecond
	backoffCap          = 10 * time.Second
	// lostReadTimeout is the time after which a read without a result is abandoned.
	lostReadTimeout = 30 * time.Second
)

// Role determines when a node reads the source.
type Role uint8

// Roles.
const (
	RoleStandby Role = iota // reads only when no recent contact with the source is known
	RoleReader              // watches the source
	RoleBooting             // lacks a version of some document
)

var roleNames = [...]string{"standby", "reader", "booting"}

// String returns the name of the role as shown in status pages.
func (r Role) String() string {
	return roleNames[r]
}

// readState is the state of the reads of one document.
type readState struct {
	active          bool
	started         time.Time
	next            time.Time // earliest start of the next read
	lastRevision    uint64    // last revision that the source returned
	hasRevision     bool      // lastRevision is set
	stale           bool      // the last version from the source is older than the floor
	nextContentRead time.Time // time of the next read that compares contents
	backoff         configservice.Backoff
}

// sourceState is the state of this node's reads of the source.
type sourceState struct {
	reads       [len(kinds)]readState
	lastContact time.Time // last known successful contact of any node
	contacted   bool
	started     time.Time
	firstReadAt time.Time // time of the first read when no peer supplies a version
	// epoch is the epoch of the last configuration that this node read from the source.
	// It applies to host lists from the source, too, since they contain no epoch.
	epoch         uint64
	epochKnown    bool // epoch is set
	fullRead      bool // the read in progress is a full read of both documents in turn
	nextFullRead  time.Time
	standbyJitter time.Duration // jitter of the next standby read
}

func newSource(cfg Config, now time.Time) sourceState {
	s := sourceState{started: now, standbyJitter: cfg.StandbyRankDelay}
	for i := range s.reads {
		s.reads[i].backoff = configservice.Backoff{Base: backoffBase, Cap: backoffCap}
	}
	return s
}

// recordContact records a successful contact with the source by this or another node.
func (s *sourceState) recordContact(at time.Time) {
	if !s.contacted || s.lastContact.Before(at) {
		s.lastContact = at
		s.contacted = true
	}
}

// age returns the time since the last known successful contact.
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

// peersCanSupply reports whether each missing document is offered by a peer or is being
// pulled.
func (m *Machine) peersCanSupply() bool {
	for _, d := range m.documents {
		if d.current == nil && d.pull == nil && len(d.offers) == 0 {
			return false
		}
	}
	return true
}

// startWatch starts a watch of one document. The host list is watched only once its epoch
// is known.
func (m *Machine) startWatch(now time.Time, i int) {
	r := &m.source.reads[i]
	if r.active || now.Before(r.next) || (m.documents[i].kind == KindHostList && !m.source.epochKnown) {
		return
	}
	r.next = now.Add(minWatchInterval)
	m.startRead(now, i, m.cfg.WatchWait)
}

// startFullRead reads both documents in turn, at most once per FullReadInterval.
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

// expireReads abandons reads that have no result after lostReadTimeout.
func (m *Machine) expireReads(now time.Time) {
	for i := range m.source.reads {
		if r := &m.source.reads[i]; r.active && now.Sub(r.started) > lostReadTimeout {
			r.active = false
		}
	}
}

// SourceRead handles the files of a document that were read from the source at a
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

// SourceUnchanged handles the end of a watch without a change.
func (m *Machine) SourceUnchanged(now time.Time, kind wire.DocumentKind) []Effect {
	if i, ok := kindIndex(kind); ok {
		m.finishRead(now, i)
	}
	return m.takeEffects()
}

// SourceFailed handles the failure of a read.
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
	if errors.Is(cause, configservice.ErrRateLimited) {
		m.counters.SourceOverLimit++
	}
	return m.takeEffects()
}

// finishRead ends a successful read. It does not count as a contact with the source when
// the source returned a version older than the floor.
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

// processSourceVersion applies a version from the source if it is newer than the current
// one. It reports false when the source is stale.
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

// validateFromSource validates files from the source. It returns the document and the
// files to distribute, which are shards for a host list.
func (m *Machine) validateFromSource(kind wire.DocumentKind, given config.Version, files []config.File) (ValidDocument, []config.File, error) {
	if kind == KindHostList {
		shards, err := SplitHostList(given.Revision, files)
		if err != nil {
			return ValidDocument{}, nil, err
		}
		files = shards
	}
	accepted, err := m.validator.Validate(kind, given, files)
	return accepted, files, err
}

// setSourceEpoch sets the epoch of host lists from the source. After a change of the
// epoch the host list is read again, since its version has changed, too.
func (m *Machine) setSourceEpoch(epoch uint64) {
	if m.source.epochKnown && m.source.epoch == epoch {
		return
	}
	m.source.epoch, m.source.epochKnown = epoch, true
	m.source.reads[1].nextContentRead = time.Time{}
}

// assumeEpoch uses the epoch of the current configuration as the source's epoch when the
// source has not returned a valid configuration yet.
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
