package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"boragefall/internal/config"
	"boragefall/internal/host"
	"boragefall/internal/wire"
)

// Limits of one exchange of a pull.
const (
	maxHashesPerRequest = 256
	maxAnswerBytes      = 256 << 10
)

// pull is the state of the transfer of an offered version from the peer that announced it.
type pull struct {
	offer
	exchangeID uint64 // ID of the exchange in progress
	deadline   time.Time
	manifest   config.Manifest
	contents   map[config.Hash][]byte
	packed     packedFiles
}

// missing returns the hashes of the files that are not transferred yet.
func (p *pull) missing() [][]byte {
	var out [][]byte
	listed := map[config.Hash]bool{}
	for _, e := range p.manifest {
		if _, ok := p.contents[e.Hash]; ok || listed[e.Hash] {
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
		out = append(out, config.File{Name: e.Name, Data: p.contents[e.Hash]})
	}
	return out
}

// addFiles stores the received files whose hash is in the manifest. It reports whether
// any of them was new.
func (p *pull) addFiles(files []*wire.FileContent) bool {
	progress := false
	for _, f := range files {
		data, err := unpack(f.GetData(), p.largestFile())
		if err != nil {
			continue
		}
		hash := config.HashOf(data)
		if _, held := p.contents[hash]; held || !p.inManifest(hash) {
			continue
		}
		p.contents[hash] = data
		p.addPackedFile(hash, f.GetData())
		progress = true
	}
	return progress
}

// addPackedFile stores the compressed form of a file, unless it is larger than the
// file plus packOverhead, the most that this node's own compression could yield.
func (p *pull) addPackedFile(hash config.Hash, packed []byte) {
	if len(packed) <= len(p.contents[hash])+packOverhead {
		p.packed[hash] = packed
	}
}

// largestFile returns the size of the largest file in the manifest.
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

// startNextPull starts a pull of the newest offer unless a pull is in progress.
func (m *Machine) startNextPull(now time.Time, d *document) {
	if m.boot.active || d.pull != nil {
		return
	}
	best, ok := d.newestOffer()
	if !ok {
		return
	}
	d.pull = &pull{offer: best, contents: map[config.Hash][]byte{}, packed: packedFiles{}}
	m.sendPull(now, d, &wire.Pull{Manifest: true})
}

func (m *Machine) sendPull(now time.Time, d *document, message *wire.Pull) {
	m.lastPullID++
	message.Kind = d.kind
	message.Version = versionToWire(d.pull.version)
	d.pull.exchangeID = m.lastPullID
	d.pull.deadline = now.Add(2 * m.cfg.ExchangeTimeout)
	m.budget.Charge(now, ClassVersions, proto.Size(message))
	m.emit(SendPull{ID: d.pull.exchangeID, Address: d.pull.address, Message: message})
}

// HandlePullRequest answers a peer's pull with the requested files that this node holds, if
// the byte budget allows. A peer that receives nothing pulls from another node.
func (m *Machine) HandlePullRequest(now time.Time, request *wire.Pull) *wire.PullAnswer {
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
		if !ok || (size > 0 && size+len(data) > maxAnswerBytes) {
			continue
		}
		size += len(data)
		answer.Files = append(answer.Files, &wire.FileContent{Hash: raw, Data: data})
		answer.Held = true
	}
	m.budget.Charge(now, ClassVersions, proto.Size(answer))
	return answer
}

// HandlePullAnswer handles the answer of the pull exchange with an id. An answer to an
// exchange that is no longer in progress is late or a duplicate and is dropped.
func (m *Machine) HandlePullAnswer(now time.Time, id uint64, answer *wire.PullAnswer) []Effect {
	d := m.documentByExchange(id)
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

// HandlePullFailure handles the failure of the pull exchange with an id.
func (m *Machine) HandlePullFailure(now time.Time, id uint64) []Effect {
	if d := m.documentByExchange(id); d != nil {
		m.peers.markFailed(now, d.pull.address)
		m.abandonPull(now, d)
	}
	return m.takeEffects()
}

// processPullAnswer stores the files of an answer and requests the missing ones, or
// finishes the pull. It reports false when the answer contained nothing usable.
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
		m.sendPull(now, d, &wire.Pull{FileHashes: missing[:min(len(missing), maxHashesPerRequest)]})
		return true
	}
	m.finishPull(now, d)
	return true
}

// reuseCurrentFiles copies the files that are also in the current version.
func (m *Machine) reuseCurrentFiles(d *document) {
	for _, e := range d.pull.manifest {
		if data, ok := d.current.find(e.Hash); ok {
			d.pull.contents[e.Hash] = data
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

// abandonPull ends a failed pull, removes the peer's offer and tries the next offer.
func (m *Machine) abandonPull(now time.Time, d *document) {
	m.counters.PullsFailed++
	d.removeOffer(d.pull.address)
	d.pull = nil
	m.startNextPull(now, d)
}

func (m *Machine) documentByExchange(id uint64) *document {
	for _, d := range m.documents {
		if d.pull != nil && d.pull.exchangeID == id {
			return d
		}
	}
	return nil
}

// senderAddress returns the link address of the sender of a gossip, from the known hosts
// or else from the sender's own record in the message; "" when it is unknown.
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
