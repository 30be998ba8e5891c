package serverconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"boragefall/internal/contract"
	"boragefall/internal/protocol"
	"boragefall/internal/serverconn"
)

// targets draws targets of requests, as callers may write them.
func targets() *rapid.Generator[string] {
	part := rapid.SampledFrom([]string{"/", "//", "///", "a", "host", "host:80", "?", "??", "%2f", "%2F", "%C3%b8", "%", "\xf8", ";p=1", ":", "@", "&", "=", "+", "|", "\"", "<", ".", "..", "#", "*"})
	return rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(part, 0, 8).Draw(t, "parts"), "")
	})
}

var _ = Describe("the request line", func() {
	// Guards against targets that are parsed and written anew: //x reached the server as ://x.
	It("is the caller's, byte for byte, and the head and body follow it", func() {
		type received struct{ line, host, id, body string }
		seen := make(chan received, 1)
		s := listen(func(_ int, c net.Conn, r *bufio.Reader) {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"), r)))
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body) // a shorter body fails the comparison
			seen <- received{line, request.Host, request.Header.Get("Id"), string(body)}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
		})
		client := serverconn.NewClient(serverconn.NewPool(serverconn.Config{Address: s.Addr().String()}), headers{})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			target := targets().Draw(t, "target")
			method := rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND", "x-own"}).Draw(t, "method")
			body := rapid.SampledFrom([]string{"", "body", strings.Repeat("b", 20_000)}).Draw(t, "body")
			length := int64(len(body))
			if length > 0 && rapid.Bool().Draw(t, "chunked") {
				length = -1
			}
			answer, err := client.Do(context.Background(), serverconn.Request{
				Request: &contract.Request{
					ID: "9c41", Method: method, URI: target, Host: "h.example", Header: http.Header{},
					ContentLength: length, Body: strings.NewReader(body),
				},
				ServerRequest: protocol.ServerRequest{ID: "9c41"},
			})
			if err != nil {
				t.Fatal(err)
			}
			_ = answer.Body.Close()
			want := received{method + " " + target + " HTTP/1.1\r\n", "h.example", "9c41", body}
			if got := <-seen; got != want {
				t.Fatalf("sent %.200q, received %.200q", want, got)
			}
		})
	})
})
