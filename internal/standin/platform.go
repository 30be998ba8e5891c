// Package standin provides small stand-ins for what surrounds the system: the
// platform's configuration service and host list, and a backend server. They
// serve the demo, the tests and the bench.
package standin

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

// PlatformConfig bounds the stand-in platform.
type PlatformConfig struct {
	// ReadsPerSecond is the limit across all readers. Default 2,000 a second.
	ReadsPerSecond float64
	// HostListLag delays changes of the host list. Default 0.
	HostListLag time.Duration
}

const defaultReadsPerSecond = 2000

// Platform is a configuration service that can be read and watched. Its
// methods that publish stand for the operators' side.
type Platform struct {
	limiter *rate.Limiter
	reads   atomic.Int64
	refused atomic.Int64
	outage  atomic.Bool
	lag     atomic.Int64 // of the host list, in nanoseconds

	mu      sync.Mutex
	files   map[string]value
	rev     uint64
	hosts   host.List
	changed chan struct{}
}

// value is a stored file and the revision of its last change.
type value struct {
	data     []byte
	revision uint64
}

// Listing is the body of a list or watch answer.
type Listing struct {
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// Entry names one stored file.
type Entry struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
}

// NewPlatform returns an empty platform at revision 0.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = defaultReadsPerSecond
	}
	p := &Platform{
		limiter: rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), int(cfg.ReadsPerSecond)),
		files:   map[string]value{},
		changed: make(chan struct{}),
	}
	p.SetHostListLag(cfg.HostListLag)
	return p
}

// Publish replaces the whole folder and returns the new revision.
func (p *Platform) Publish(files []config.File) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	next := make(map[string]value, len(files))
	for _, f := range files {
		old, ok := p.files[f.Name]
		if ok && string(old.data) == string(f.Data) {
			next[f.Name] = old
			continue
		}
		next[f.Name] = value{data: slices.Clone(f.Data), revision: p.rev}
	}
	p.files = next
	p.wake()
	return p.rev
}

// Put adds or changes one file and returns the new revision.
func (p *Platform) Put(name string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	p.files[name] = value{data: slices.Clone(data), revision: p.rev}
	p.wake()
	return p.rev
}

// Remove deletes one file and returns the new revision.
func (p *Platform) Remove(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	delete(p.files, name)
	p.wake()
	return p.rev
}

// SetHostListLag delays the changes of the host list from now on.
func (p *Platform) SetHostListLag(lag time.Duration) {
	p.lag.Store(int64(lag))
}

// SetHosts replaces the host list; the list's own revision is raised.
func (p *Platform) SetHosts(hosts []host.Listing) {
	set := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		next := host.List{Revision: p.hosts.Revision + 1, Hosts: slices.Clone(hosts)}
		next.Sort()
		p.hosts = next
		p.wake()
	}
	lag := time.Duration(p.lag.Load())
	if lag == 0 {
		set()
		return
	}
	time.AfterFunc(lag, set)
}

// SetOutage switches every read and watch off or on.
func (p *Platform) SetOutage(off bool) {
	p.outage.Store(off)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
}

// Restore goes back to an old backup: files at an older revision.
func (p *Platform) Restore(revision uint64, files []config.File) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev = revision
	p.files = map[string]value{}
	for _, f := range files {
		p.files[f.Name] = value{data: slices.Clone(f.Data), revision: revision}
	}
	p.wake()
}

// Reads returns the calls taken and the calls refused over the limit.
func (p *Platform) Reads() (taken, refused int64) {
	return p.reads.Load(), p.refused.Load()
}

// Revision returns the revision of the folder.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rev
}

// Files returns the folder as it stands.
func (p *Platform) Files() []config.File {
	p.mu.Lock()
	defer p.mu.Unlock()
	files := make([]config.File, 0, len(p.files))
	for name, v := range p.files {
		files = append(files, config.File{Name: name, Data: v.data})
	}
	slices.SortFunc(files, func(a, b config.File) int { return cmp.Compare(a.Name, b.Name) })
	return files
}

// wake ends all waiting watches; the caller holds mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) list() (Listing, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listing := Listing{Revision: p.rev, Entries: []Entry{}}
	for name, v := range p.files {
		sum := sha256.Sum256(v.data)
		listing.Entries = append(listing.Entries, Entry{Name: name, Revision: v.revision, SHA256: hex.EncodeToString(sum[:])})
	}
	slices.SortFunc(listing.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return listing, p.changed
}

func (p *Platform) hostList() (host.List, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, p.changed
}

func (p *Platform) value(name string) (value, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.files[name]
	return v, ok
}
