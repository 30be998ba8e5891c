package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	id, service string
	record      *record
	running     atomic.Int64
	// answer returns what is sent for a request that was run; nil for an ordinary answer.
	answer func(r ran) answer

	mu   sync.Mutex
	runs []ran
}

var serverCount atomic.Int64

func startServer(r *record, address, service string) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{id: fmt.Sprintf("i-%08x", xxhash.Sum64String(address+strconv.FormatInt(serverCount.Add(1), 10))&0xffffffff), service: service, record: r}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) allRuns() []ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ran(nil), s.runs...)
}

// serve serves the requests of one connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // nothing is left to send
	reader := bufio.NewReader(c)
	for s.serveOne(c, reader) {
	}
}

// serveOne serves a request and reports whether the connection goes on.
func (s *server) serveOne(c net.Conn, reader *bufio.Reader) bool {
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
	head := fmt.Sprintf("Instance-Id: %s\r\nServer-Load: %d,0,%d\r\n", s.id, s.running.Load(), serverSlots)
	if target == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	head += "Request-Id: " + r.id + "\r\n"
	if want := request.Header.Get("Target-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.record.line("server %s runs %s: %s %s, %d bytes, caller service %s", s.id, r.id, method, target, length, r.caller)
	time.Sleep(workTime)
	a := answer{body: []byte("done " + r.id + "\n")}
	if s.answer != nil {
		a = s.answer(r)
	}
	head += fmt.Sprintf("Response-Signature: %x\r\nContent-Length: %d\r\n", xxhash.Sum64(a.body), len(a.body))
	err = a.write(c, "HTTP/1.1 200 OK\r\n"+head+a.extra+"\r\n")
	s.record.line("server %s answered %s: 200, %d bytes, all written: %t", s.id, r.id, len(a.body), err == nil)
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
