package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy stands before the port at which a node listens for links.
type proxy struct {
	target string

	mu    sync.Mutex
	pairs []*pair
}

// pair is a connection through the proxy.
type pair struct {
	// silent reports that what arrives is read and dropped, in both directions.
	silent atomic.Bool
}

func startProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in)
		}
	}()
	return p, nil
}

func (p *proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close() // as a port without a listener would
		return
	}
	link := &pair{}
	p.mu.Lock()
	p.pairs = append(p.pairs, link)
	p.mu.Unlock()
	go link.copy(out, in)
	link.copy(in, out)
}

// silence makes all open connections silent for good. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, link := range p.pairs {
		link.silent.Store(true)
	}
	return len(p.pairs)
}

func (l *pair) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close() // the other direction ends with it
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if l.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
