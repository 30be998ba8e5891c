package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/host"
	"boragefall/internal/node"
	"boragefall/internal/standin"
	"boragefall/internal/workload"
)

// ErrNotReady reports nodes that did not become ready in time.
var ErrNotReady = eris.New("the nodes did not become ready")

// Node is one host: a real node process and the address of its backend server.
type Node struct {
	*Process
	Listing        host.Listing
	Callers, Admin string
	Backend        string

	settings string // path of the settings file
}

// Fleet is a stand-in platform in this process and real node processes.
type Fleet struct {
	Platform *standin.Platform
	Nodes    []*Node

	binary, folder string
	server         *http.Server
	url            string
}

// BuildBinary builds the one binary into a folder and returns its path.
func BuildBinary(ctx context.Context, folder string) (string, error) {
	path := filepath.Join(folder, "boragefall")
	command := exec.CommandContext(ctx, "go", "build", "-o", path, "boragefall/cmd/boragefall")
	if output, err := command.CombinedOutput(); err != nil {
		return "", eris.Wrapf(err, "build: %s", output)
	}
	return path, nil
}

// NewFleet serves a platform with a deployment's folder. The binary and the
// settings files lie in the folder named.
func NewFleet(binary, folder string, d workload.Deployment) (*Fleet, error) {
	files, err := d.Folder()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start platform")
	}
	f := &Fleet{
		Platform: standin.NewPlatform(standin.PlatformConfig{}),
		binary:   binary, folder: folder, url: "http://" + listener.Addr().String(),
	}
	f.server = &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.server.Serve(listener) }()
	f.Platform.Publish(files)
	return f, nil
}

// Add describes a host whose node Start will start.
func (f *Fleet) Add(listing host.Listing, backend string) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	listing.Address = addresses[0]
	f.Nodes = append(f.Nodes, &Node{Listing: listing, Callers: addresses[1], Admin: addresses[2], Backend: backend})
	return nil
}

// freeAddresses finds free loopback addresses. Another process may take one
// before its node does; then the node's start fails.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		if addresses[i], err = workload.FreeAddress(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// Start publishes the host list, starts all nodes and waits until each is
// ready and knows all others.
func (f *Fleet) Start(ctx context.Context) error {
	var listings []host.Listing
	for _, n := range f.Nodes {
		listings = append(listings, n.Listing)
	}
	f.Platform.SetHosts(listings)
	for _, n := range f.Nodes {
		if err := f.startNode(n); err != nil {
			return err
		}
		// One after the other, so that the machine's other work goes on.
		time.Sleep(startGap)
	}
	return f.waitReady(ctx)
}

// fileSettings is a node's settings file.
type fileSettings struct {
	Host       string   `json:"host"`
	DataCentre string   `json:"data-centre"`
	Region     string   `json:"region"`
	Service    string   `json:"service"`
	Backend    string   `json:"backend"`
	Health     string   `json:"health-path"`
	Load       string   `json:"load-path"`
	Link       string   `json:"link-listen"`
	Callers    string   `json:"callers-listen"`
	Admin      string   `json:"admin-listen"`
	Platform   string   `json:"platform"`
	LogLevel   string   `json:"log-level"`
	Peers      []string `json:"peer"`
}

func (f *Fleet) startNode(n *Node) error {
	s := fileSettings{
		Host: string(n.Listing.ID), DataCentre: string(n.Listing.Place.DataCentre),
		Region: string(n.Listing.Place.Region), Service: n.Listing.Service,
		Backend: n.Backend, Health: standin.PathHealth, Load: standin.PathLoad,
		Link: n.Listing.Address, Callers: n.Callers, Admin: n.Admin,
		Platform: f.url, LogLevel: "error", Peers: f.peers(),
	}
	data, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	n.settings = filepath.Join(f.folder, s.Host+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	command := exec.Command(f.binary, "node", "--settings", n.settings)
	command.Stderr = os.Stderr
	n.Process, err = start(command)
	return err
}

// peers names a few nodes that every other asks first.
func (f *Fleet) peers() []string {
	var peers []string
	for _, n := range f.Nodes[:min(3, len(f.Nodes))] {
		peers = append(peers, n.Listing.Address)
	}
	return peers
}

const (
	startGap   = 50 * time.Millisecond
	readyLimit = 60 * time.Second
	readyPoll  = 100 * time.Millisecond
)

func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, n := range f.Nodes {
		for {
			status, err := n.Status(ctx)
			if err == nil && status.Ready && status.Members >= len(f.Nodes) {
				break
			}
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return eris.Wrapf(ErrNotReady, "%s: ready %t, knows %d hosts, %v", n.Listing.ID, status.Ready, status.Members, err)
			}
		}
	}
	return nil
}

// Status asks the node what it knows of itself.
func (n *Node) Status(ctx context.Context) (node.Status, error) {
	var status node.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/status", n.Admin), nil)
	if err != nil {
		return status, eris.Wrap(err, "ask status")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, eris.Wrap(err, "ask status")
	}
	defer func() { _ = response.Body.Close() }()
	return status, eris.Wrap(json.NewDecoder(response.Body).Decode(&status), "read status")
}

// Close ends all nodes at once, each by its id, and the platform.
func (f *Fleet) Close() {
	var work sync.WaitGroup
	for _, n := range f.Nodes {
		if n.Process != nil {
			work.Go(n.Kill)
		}
	}
	work.Wait()
	_ = f.server.Close()
}
