package exchange_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"boragefall/internal/contract"
	"boragefall/internal/verdict"
)

// fieldText draws any bytes that HTTP permits in a target or the value of a field.
func fieldText() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		text := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")
		for i, b := range text {
			if b < ' ' || b == 0x7f {
				text[i] = 0xf8
			}
		}
		return string(text)
	})
}

var _ = Describe("bytes of a head that are not UTF-8", func() {
	// Guards against heads that no message between nodes can carry: the request or answer was
	// lost, and every other one on the link with it.
	It("arrive as they were sent, in both directions", func() {
		seen, sent := make(chan *contract.Request, 1), make(chan *contract.Answer, 1)
		var refusal error
		client, address := newClientAndServer(func(_ context.Context, r *contract.Request) (*contract.Answer, error) {
			seen <- r
			if refusal != nil {
				return nil, refusal
			}
			return <-sent, nil
		}, nil)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := func(label string) string { return fieldText().Draw(t, label) }
			request := newRequest(http.NoBody, 0)
			request.ID, request.URI, request.Caller, request.Host = text("id"), text("target"), text("caller"), text("host")
			request.Header = http.Header{"A": {text("a"), text("b")}}
			answer := newAnswer(strings.NewReader("answer"), 6)
			trailer := http.Header{"T": {text("trailer")}}
			answer.Header, answer.Trailer = http.Header{"Content-Disposition": {text("c")}}, func() http.Header { return trailer }
			refusal = nil
			if rapid.Bool().Draw(t, "refused") {
				refusal = verdict.New(verdict.NotRun, verdict.ReasonOverloaded, errors.New(text("detail")))
			} else {
				sent <- answer
			}

			got, err := client.Do(context.Background(), address, request)
			var arrived *contract.Request
			select {
			case arrived = <-seen:
			default:
				t.Fatalf("sent %+v, which did not arrive: %v", request, err)
			}
			if arrived.ID != request.ID || arrived.URI != request.URI || arrived.Caller != request.Caller || arrived.Host != request.Host ||
				!equalHeaders(arrived.Header, request.Header) {
				t.Fatalf("sent %+v, arrived %+v", request, arrived)
			}
			if refusal != nil {
				if verdict.FromError(err).Reason != verdict.ReasonOverloaded || !strings.HasSuffix(err.Error(), refusal.(*verdict.Error).Cause.Error()) {
					t.Fatalf("sent %v, arrived %v", refusal, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = got.Body.Close() }()
			body, err := io.ReadAll(got.Body)
			if err != nil || string(body) != "answer" || !equalHeaders(got.Header, answer.Header) || !equalHeaders(got.Trailer(), trailer) {
				t.Fatalf("sent %+v, arrived %+v: %v", answer, got, err)
			}
		})
	})
})

func equalHeaders(a, b http.Header) bool {
	if len(a) != len(b) {
		return false
	}
	for name, values := range a {
		if strings.Join(values, "\n") != strings.Join(b[name], "\n") {
			return false
		}
	}
	return true
}
