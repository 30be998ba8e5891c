package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// outcome is what a client saw of a request.
type outcome struct {
	id     string
	status int
	// whole reports that the answer came to its end, signed that its signature fits the body.
	whole, signed bool
	closed        bool
	took          time.Duration
	err           error
}

func (o outcome) String() string {
	return fmt.Sprintf("%s: status %d, whole answer %t, signature fits %t, connection ended %t, after %s, error %v",
		o.id, o.status, o.whole, o.signed, o.closed, o.took.Round(time.Millisecond), o.err)
}

// client is a client's kept connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialClient opens a connection to a node.
func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and reads its answer. extra holds further header lines.
func (c *client) send(method, target, id string, limit time.Duration, extra string) (o outcome) {
	o.id = id
	began := time.Now()
	defer func() { o.took = time.Since(began) }()
	_ = c.conn.SetDeadline(began.Add(limit + time.Second)) // an error shows in the write
	_, o.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n",
		method, target, meshHost, id, limit.Milliseconds(), extra)
	if o.err != nil {
		o.closed = true
		return o
	}
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		o.err, o.closed = err, !isTimeout(err)
		return o
	}
	o.status = response.StatusCode
	digest := xxhash.New()
	buffer := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buffer)
		_, _ = digest.Write(buffer[:n]) // hashing never fails
		if err == io.EOF {
			break
		}
		if err != nil {
			o.err, o.closed = err, !isTimeout(err)
			return o
		}
	}
	o.whole = true
	o.signed = response.Header.Get("Response-Signature") == fmt.Sprintf("%x", digest.Sum64())
	return o
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func (c *client) close() { _ = c.conn.Close() }
