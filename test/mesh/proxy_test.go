package mesh

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fault is what a proxy does to the bytes that pass.
type fault uint8

const (
	faultNone fault = iota
	// faultDelay holds each piece back for a time.
	faultDelay
	// faultOneWay loses what goes towards the node.
	faultOneWay
	// faultSilent loses everything, without an end of the connection.
	faultSilent
)

// proxyDelay is the time of faultDelay.
const proxyDelay = 150 * time.Millisecond

// proxy stands before a node's link port, on loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]struct{}
}

func newProxy(listen, target string) *proxy {
	l, err := net.Listen("tcp", listen)
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	DeferCleanup(func() {
		_ = l.Close() // nothing is left to do with it
		p.reset()
	})
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close() // as a closed port would
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.copy(out, in, true)
		go p.copy(in, out, false)
	}
}

// set makes a fault begin, or all end.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// reset cuts all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // a reset, not an end
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) copy(to, from net.Conn, towardsNode bool) {
	defer func() {
		_ = to.Close() // the other direction ends with it
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		f := p.fault
		p.mu.Unlock()
		switch {
		case f == faultSilent, f == faultOneWay && towardsNode:
			continue
		case f == faultDelay:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
