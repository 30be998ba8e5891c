package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// serverSlots is the number of requests that a server runs at once.
const serverSlots = 9

// ran is a request that a server began to run.
type ran struct {
	id, method, target, caller string
	body                       int
}

// answer is what a server sends.
type answer struct {
	// extra holds header lines beside those of the protocol.
	extra string
	body  []byte
	// pauseAt is the number of bytes of the body after which the server pauses.
	pauseAt int
	pause   time.Duration
}

// workTime is the time of a run.
const workTime = 50 * time.Millisecond

// server stands in for a backend server. It reads its connections itself, so that it sees the
// request line as it was sent.
type server struct {
	address, service string
	record           *record
	running          atomic.Int64
	// work is the time of a run, workTime if it is 0.
	work time.Duration
	// crashes reports whether a request ends the server while it runs; nil for none does.
	crashes func(r ran) bool
	// onCrash is called when the server has ended.
	onCrash func(s *server, id string)
	// answer returns what is sent for a request that was run; nil for an ordinary answer.
	answer func(r ran) answer

	mu   sync.Mutex
	runs []ran
	life *life
}

// life is an incarnation of a server.
type life struct {
	id       string
	listener net.Listener

	mu    sync.Mutex
	ended bool
	conns map[net.Conn]bool
}

var serverCount atomic.Int64

func startServer(r *record, address, service string) (*server, error) {
	s := &server{address: address, service: service, record: r}
	return s, s.start()
}

// start starts a new incarnation.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	id := xxhash.Sum64String(fmt.Sprintf("%s %d", s.address, serverCount.Add(1))) & 0xffffffff
	life := &life{id: fmt.Sprintf("i-%08x", id), listener: l, conns: map[net.Conn]bool{}}
	s.mu.Lock()
	s.life = life
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if life.add(c) {
				go s.serve(life, c)
			}
		}
	}()
	return nil
}

// id returns the id of the present incarnation.
func (s *server) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.id
}

// add records a connection, unless the incarnation has ended.
func (l *life) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		_ = c.Close() // as the end of a process would
		return false
	}
	l.conns[c] = true
	return true
}

// end closes everything, as the end of a process does. Only the first call reports true.
func (l *life) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.ended = true
	_ = l.listener.Close() // no more connections
	for c := range l.conns {
		_ = c.Close()
	}
	return true
}

func (s *server) allRuns() []ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ran(nil), s.runs...)
}

// serve serves the requests of one connection, one at a time.
func (s *server) serve(l *life, c net.Conn) {
	defer func() {
		_ = c.Close() // nothing is left to send
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for s.serveOne(l, c, reader) {
	}
}

// serveOne serves a request and reports whether the connection goes on.
func (s *server) serveOne(l *life, c net.Conn, reader *bufio.Reader) bool {
	line, err := reader.ReadString('\n')
	if err != nil {
		return false
	}
	method, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	target, _, _ := strings.Cut(rest, " ")
	// The head is read as that of a request for "/", whatever the target is.
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(method+" / HTTP/1.1\r\n"), reader)))
	if err != nil {
		return false
	}
	length, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return false
	}
	r := ran{id: request.Header.Get("Request-Id"), method: method, target: target, caller: request.Header.Get("Caller-Service"), body: int(length)}
	head := fmt.Sprintf("Instance-Id: %s\r\nServer-Load: %d,0,%d\r\n", l.id, s.running.Load(), serverSlots)
	if target == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	head += "Request-Id: " + r.id + "\r\n"
	if want := request.Header.Get("Target-Instance"); want != "" && want != l.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.record.line("server %s runs %s: %s %s, %d bytes, caller service %s", l.id, r.id, method, target, length, r.caller)
	time.Sleep(cmp.Or(s.work, workTime))
	if s.crashes != nil && s.crashes(r) {
		if l.end() {
			s.record.line("server %s crashed", l.id)
			s.onCrash(s, l.id)
		}
		return false
	}
	a := answer{body: []byte("done " + r.id + "\n")}
	if s.answer != nil {
		a = s.answer(r)
	}
	head += fmt.Sprintf("Response-Signature: %x\r\nContent-Length: %d\r\n", xxhash.Sum64(a.body), len(a.body))
	err = a.write(c, "HTTP/1.1 200 OK\r\n"+head+a.extra+"\r\n")
	s.record.line("server %s answered %s: 200, %d bytes, all written: %t", l.id, r.id, len(a.body), err == nil)
	return err == nil
}

// write sends an answer with its head.
func (a answer) write(w io.Writer, head string) error {
	if _, err := w.Write(append([]byte(head), a.body[:a.pauseAt]...)); err != nil {
		return err
	}
	time.Sleep(a.pause)
	_, err := w.Write(a.body[a.pauseAt:])
	return err
}
