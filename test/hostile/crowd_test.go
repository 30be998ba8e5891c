package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"

	"boragefall/internal/link"
)

const (
	// sendLimit bounds the time in which a client of the crowd sends its bytes.
	sendLimit = 5 * time.Second
	// clientsOfKind is the number of clients that send more than a head may have, of a kind.
	clientsOfKind = 40
	// stalledHeads is the number of clients that stall within a head of ordinary size, and
	// stalledHeadBytes what they send of it.
	stalledHeads     = 300
	stalledHeadBytes = 60 << 10
	// silentClients is the number of clients that send a byte or none.
	silentClients = 700

	unfinishedLinks   = 4
	unfinishedStreams = 64
	emptyStreams      = 2000
	unfinishedBytes   = 1 << 20
)

// crowd holds the connections of hostile clients.
type crowd struct {
	mu    sync.Mutex
	conns []io.Closer
	work  sync.WaitGroup
}

// dial connects; a refused connection is nil.
func (c *crowd) dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, sendLimit)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
	return conn
}

// each runs n clients. Errors of their connections are expected.
func (c *crowd) each(n int, address string, client func(i int, conn net.Conn)) {
	for i := range n {
		c.work.Go(func() {
			if conn := c.dial(address); conn != nil {
				client(i, conn)
			}
		})
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close() // it may be closed already
	}
}

// headLines returns a head of short lines with names of their own, which take more memory
// than their bytes.
func headLines(size int) string {
	var out strings.Builder
	out.WriteString("GET /status/a HTTP/1.1\r\nHost: mesh.example\r\n")
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(&out, "x%x:\r\n", i)
	}
	return out.String()
}

// httpCrowd connects hostile clients to an HTTP listener and returns when all have sent what
// they could.
func httpCrowd(address string) *crowd {
	c := &crowd{}
	over, stalled, empty := headLines(900<<10), headLines(stalledHeadBytes), strings.Repeat("\r\n", 8<<10)
	c.each(stalledHeads, address, func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, stalled) })
	c.each(clientsOfKind, address, func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, over) })
	c.each(clientsOfKind, address, func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, over)
		for range 32 { // one value without end
			if _, err := io.WriteString(conn, "x:"+strings.Repeat("a", 256<<10)); err != nil {
				return
			}
		}
	})
	c.each(clientsOfKind, address, func(_ int, conn net.Conn) {
		for range 64 {
			if _, err := io.WriteString(conn, empty); err != nil {
				return
			}
		}
	})
	c.each(silentClients, address, func(i int, conn net.Conn) { _, _ = io.WriteString(conn, "G"[:i%2]) })
	c.work.Wait()
	return c
}

// linkCrowd connects hostile clients to a listener for links.
func linkCrowd(address string) *crowd {
	c := &crowd{}
	c.each(silentClients, address, func(i int, conn net.Conn) { _, _ = conn.Write(make([]byte, i%2)) })
	length := protowire.AppendVarint(nil, link.MaxFrameBytes-1)
	message := append(length, make([]byte, unfinishedBytes)...)
	c.each(unfinishedLinks, address, func(i int, conn net.Conn) { c.openStreams(conn, i, unfinishedStreams, message) })
	c.each(unfinishedLinks, address, func(i int, conn net.Conn) { c.openStreams(conn, i, unfinishedStreams, length) })
	c.each(unfinishedLinks, address, func(i int, conn net.Conn) { c.openStreams(conn, i, emptyStreams, nil) })
	c.each(clientsOfKind, address, func(_ int, conn net.Conn) { _, _ = conn.Write(make([]byte, unfinishedBytes)) })
	c.work.Wait()
	return c
}

// openStreams opens streams on a link, sends a message on each and leaves them open.
func (c *crowd) openStreams(conn net.Conn, class, streams int, message []byte) {
	if _, err := conn.Write([]byte{byte(class % 2)}); err != nil {
		return
	}
	session, err := yamux.Client(conn, quietYamux())
	Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	c.conns = append(c.conns, session)
	c.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Time{})
	deadline := time.Now().Add(sendLimit)
	var sends sync.WaitGroup
	defer sends.Wait()
	for range streams {
		if time.Now().After(deadline) || session.IsClosed() {
			return
		}
		opened := make(chan *yamux.Stream, 1)
		go func() {
			stream, _ := session.OpenStream() // nil when the link is closed
			opened <- stream
		}()
		select {
		case stream := <-opened:
			if stream == nil {
				return
			}
			_ = stream.SetDeadline(deadline)
			sends.Go(func() { _, _ = stream.Write(message) })
		case <-time.After(sendLimit):
			return
		}
	}
}

func quietYamux() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput, cfg.EnableKeepAlive = io.Discard, false
	return cfg
}
