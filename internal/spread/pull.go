package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// Bounds of one pull.
const (
	maxPullHashes      = 256
	maxPullAnswerBytes = 256 << 10
)

// pull fetches the pieces of one offered version from its announcer.
type pull struct {
	offer
	id       uint64 // of the exchange under way
	deadline time.Time
	manifest config.Manifest
	pieces   map[config.Hash][]byte
	packed   packedFiles
}

// missing lists the hashes that are still to be fetched.
func (p *pull) missing() [][]byte {
	var out [][]byte
	listed := map[config.Hash]bool{}
	for _, e := range p.manifest {
		if _, ok := p.pieces[e.Hash]; ok || listed[e.Hash] {
			continue
		}
		listed[e.Hash] = true
		out = append(out, append([]byte(nil), e.Hash[:]...))
	}
	return out
}

func (p *pull) files() []config.File {
	out := make([]config.File, 0, len(p.manifest))
	for _, e := range p.manifest {
		out = append(out, config.File{Name: e.Name, Data: p.pieces[e.Hash]})
	}
	return out
}

// addFiles stores the pieces whose bytes match a hash that the manifest names. It
// reports whether any was new.
func (p *pull) addFiles(files []*wire.FileContent) bool {
	progress := false
	for _, f := range files {
		data, err := unpack(f.GetData(), p.largestFile())
		if err != nil {
			continue
		}
		hash := config.HashOf(data)
		if _, held := p.pieces[hash]; held || !p.inManifest(hash) {
			continue
		}
		p.pieces[hash] = data
		p.addPackedFile(hash, f.GetData())
		progress = true
	}
	return progress
}

// addPackedFile takes over a packed file, unless its sender packed it badly.
func (p *pull) addPackedFile(hash config.Hash, packed []byte) {
	if len(packed) <= len(p.pieces[hash])+packOverhead {
		p.packed[hash] = packed
	}
}

// largestFile is the size of the largestFile file that the manifest names.
func (p *pull) largestFile() int {
	size := 0
	for _, e := range p.manifest {
		size = max(size, e.Size)
	}
	return size
}

func (p *pull) inManifest(hash config.Hash) bool {
	for _, e := range p.manifest {
		if e.Hash == hash {
			return true
		}
	}
	return false
}

// startNextPull starts a pull of the newest offer, when none is under way.
func (m *Machine) startNextPull(now time.Time, d *document) {
	if m.boot.active || d.pull != nil {
		return
	}
	best, ok := d.newestOffer()
	if !ok {
		return
	}
	d.pull = &pull{offer: best, pieces: map[config.Hash][]byte{}, packed: packedFiles{}}
	m.sendPull(now, d, &wire.Pull{Manifest: true})
}

func (m *Machine) sendPull(now time.Time, d *document, message *wire.Pull) {
	m.lastPullID++
	message.Kind = d.kind
	message.Version = versionToWire(d.pull.version)
	d.pull.id = m.lastPullID
	d.pull.deadline = now.Add(2 * m.cfg.ExchangeTimeout)
	m.budget.Charge(now, ClassVersions, proto.Size(message))
	m.emit(SendPull{ID: d.pull.id, Address: d.pull.address, Message: message})
}

// PullReceived answers a peer's pull as far as the pieces are held here and
// the byte budget has room; a peer that gets nothing asks elsewhere.
func (m *Machine) PullReceived(now time.Time, request *wire.Pull) *wire.PullAnswer {
	answer := &wire.PullAnswer{}
	d := m.document(request.GetKind())
	if d == nil || d.current == nil || !m.budget.Allow(now, ClassVersions) {
		m.counters.PullsRefused++
		return answer
	}
	if request.GetManifest() && d.current.Version == versionFromWire(request.GetVersion()) {
		answer.Manifest = manifestToWire(d.current.Manifest)
		answer.Held = true
	}
	size := 0
	for _, raw := range request.GetFileHashes() {
		hash, _ := hashFromWire(raw)
		data, ok := d.current.packed[hash]
		if !ok || (size > 0 && size+len(data) > maxPullAnswerBytes) {
			continue
		}
		size += len(data)
		answer.Files = append(answer.Files, &wire.FileContent{Hash: raw, Data: data})
		answer.Held = true
	}
	m.budget.Charge(now, ClassVersions, proto.Size(answer))
	return answer
}

// PullAnswered takes the answer of the exchange with an id. An answer to any
// other exchange than the one under way is late or doubled and is dropped.
func (m *Machine) PullAnswered(now time.Time, id uint64, answer *wire.PullAnswer) []Effect {
	d := m.documentByPull(id)
	if d == nil {
		m.counters.LateAnswers++
		return m.takeEffects()
	}
	m.peers.markAnswered(d.pull.address)
	if !answer.GetHeld() || !m.processPullAnswer(now, d, answer) {
		m.abandonPull(now, d)
	}
	return m.takeEffects()
}

// PullFailed takes the failure of the exchange with an id.
func (m *Machine) PullFailed(now time.Time, id uint64) []Effect {
	if d := m.documentByPull(id); d != nil {
		m.peers.markFailed(now, d.pull.address)
		m.abandonPull(now, d)
	}
	return m.takeEffects()
}

// processPullAnswer takes the pieces of an answer and asks for the rest or finishes. It
// reports false when the answer brought nothing that helps.
func (m *Machine) processPullAnswer(now time.Time, d *document, answer *wire.PullAnswer) bool {
	p := d.pull
	if p.manifest == nil {
		manifest, err := manifestFromWire(answer.GetManifest(), p.hash)
		if err != nil {
			m.counters.BadPieces++
			return false
		}
		p.manifest = manifest
		m.reuseCurrentFiles(d)
	} else if !p.addFiles(answer.GetFiles()) {
		m.counters.BadPieces++
		return false
	}
	missing := p.missing()
	if len(missing) > 0 {
		m.sendPull(now, d, &wire.Pull{FileHashes: missing[:min(len(missing), maxPullHashes)]})
		return true
	}
	m.finishPull(now, d)
	return true
}

// reuseCurrentFiles takes the pieces that the current version already has.
func (m *Machine) reuseCurrentFiles(d *document) {
	for _, e := range d.pull.manifest {
		if data, ok := d.current.find(e.Hash); ok {
			d.pull.pieces[e.Hash] = data
			d.pull.packed[e.Hash] = d.current.packed[e.Hash]
		}
	}
}

func (m *Machine) finishPull(now time.Time, d *document) {
	p := d.pull
	d.pull = nil
	files := p.files()
	accepted, err := m.validator.Validate(d.kind, p.version, files)
	if err == nil && accepted.Version != p.version {
		err = ErrVersionMismatch
	}
	if err != nil {
		m.reject(now, d, Rejection{Version: p.version, Hash: p.hash, Reason: err.Error()})
	} else if d.shouldReplace(p.version) {
		m.apply(now, d, newBundle(d.kind, p.version, files, p.packed), accepted)
	}
	m.startNextPull(now, d)
}

// abandonPull gives up on the announcer and tries the next one.
func (m *Machine) abandonPull(now time.Time, d *document) {
	m.counters.PullsFailed++
	d.removeOffer(d.pull.address)
	d.pull = nil
	m.startNextPull(now, d)
}

func (m *Machine) documentByPull(id uint64) *document {
	for _, d := range m.documents {
		if d.pull != nil && d.pull.id == id {
			return d
		}
	}
	return nil
}

// senderAddress returns the link address of a gossip's sender: that of the host
// list, else that of the sender's own record; "" when it is not known.
func (m *Machine) senderAddress(message *wire.Gossip) string {
	if address := m.peers.address(host.ID(message.GetHost())); address != "" {
		return address
	}
	for _, record := range message.GetRecords() {
		if record.GetHost() == message.GetHost() {
			return record.GetAddress()
		}
	}
	return ""
}
