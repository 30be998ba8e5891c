package listen

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"boragefall/internal/telemetry"
)

func TestListen(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "listen")
}

// A table that closes a connection which serves a request would cut off a request that was
// passed on to a server; one that miscounts would refuse ordinary clients for good.
func TestTableNeverClosesServingConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &table{limit: rapid.IntRange(1, 6).Draw(t, "limit")}
		var open []*entry
		now := time.Unix(0, 0)
		drop := func(e *entry) {
			for i, other := range open {
				if other == e {
					open = append(open[:i], open[i+1:]...)
					return
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			action := rapid.IntRange(0, 4).Draw(t, "action")
			if action > 2 || len(open) == 0 {
				e := &entry{}
				victim := table.add(e, now)
				if victim != nil && victim != e && victim.place != nil {
					t.Fatal("a closed connection is in a list")
				}
				if victim != e {
					open = append(open, e)
				}
				if victim != nil && victim != e {
					serving := false
					for _, other := range open {
						serving = serving || other == victim && victim.phase == phaseServing
					}
					if serving {
						t.Fatal("closed a connection that serves a request")
					}
					drop(victim)
				}
			} else if e := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]; action == 0 {
				table.remove(e)
				drop(e)
			} else {
				table.move(e, []phase{phaseHead, phaseServing, phaseIdle}[rapid.IntRange(0, 2).Draw(t, "phase")], now)
			}
			if table.count != len(open) || table.count > table.limit {
				t.Fatalf("%d connections counted of %d, limit %d", table.count, len(open), table.limit)
			}
		}
	})
}

// meter counts closed connections by listener and reason.
type meter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (m *meter) ConnectionClosed(listener, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts == nil {
		m.counts = map[string]int{}
	}
	m.counts[listener+" "+reason]++
}

func (m *meter) count(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[key]
}

// startCallers serves handler under limits and returns its address.
func startCallers(limits Limits, handler http.HandlerFunc) (string, *meter, *Guard) {
	m := &meter{}
	guard := NewGuard(limits, m, telemetry.Silent())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	bounded := guard.Callers(server).On(inner)
	go func() { _ = server.Serve(bounded) }() // it ends with Close
	DeferCleanup(server.Close)
	return inner.Addr().String(), m, guard
}

// client is a connection of a caller.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) *client {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // a spec that hangs fails
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) { _, _ = io.WriteString(c, text) } // an error shows in receive

// receive returns the status of the next response, or 0.
func (c *client) receive() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n"

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

var _ = Describe("Guard", func() {
	limits := Limits{Callers: 8, Operators: 8, HeadBytes: 256 << 10}

	It("lets no stalled connections take the places of ordinary ones", func() {
		address, m, _ := startCallers(limits, ok)
		idle := connect(address)
		idle.send(get + "\r\n")
		Expect(idle.receive()).To(Equal(200))
		time.Sleep(20 * time.Millisecond) // stalled for longer than it is idle
		for range 3 {
			var stalled []*client
			for range limits.Callers {
				c := connect(address)
				c.send("G")
				stalled = append(stalled, c)
			}
			c := connect(address)
			c.send(get + "\r\n")
			Expect(c.receive()).To(Equal(200))
			Expect(stalled).To(HaveLen(limits.Callers))
		}
		Expect(m.count("callers connections")).To(BeNumerically(">", 0))
	})

	It("never closes a connection whose request is served", func() {
		release := make(chan struct{})
		started := make(chan struct{}, limits.Callers)
		address, m, _ := startCallers(limits, func(w http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-release
			ok(w, r)
		})
		var serving []*client
		for range limits.Callers {
			c := connect(address)
			c.send(get + "\r\n")
			serving = append(serving, c)
			Eventually(started, "10s").Should(Receive())
		}
		refused := connect(address)
		refused.send(get + "\r\n")
		Expect(refused.receive()).To(BeZero(), "no place is left")
		close(release)
		for _, c := range serving {
			Expect(c.receive()).To(Equal(200))
		}
		Expect(m.count("callers connections")).To(Equal(1))
	})

	It("bounds the memory of all unfinished heads, and serves heads of 16 KiB meanwhile", func() {
		address, m, guard := startCallers(limits, ok)
		var lines strings.Builder
		for i := range 1500 {
			fmt.Fprintf(&lines, "x%x:\r\n", i)
		}
		for range 6 {
			connect(address).send(get + lines.String())
		}
		Eventually(m.count).WithArguments("callers heads").WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		c := connect(address)
		c.send(get + "X: " + strings.Repeat("a", 16<<10) + "\r\n\r\n")
		Expect(c.receive()).To(Equal(200))
		guard.mu.Lock()
		defer guard.mu.Unlock()
		Expect(guard.headUsed).To(BeNumerically("<=", limits.HeadBytes))
	})

	// Guards against a part taken for a whole: an answer to HTTP/1.0 ends with its connection.
	It("resets the connection of an HTTP/1.0 client whose answer is cut", func() {
		address, _, _ := startCallers(limits, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond) // the client has read the part
			panic(http.ErrAbortHandler)
		})
		c := connect(address)
		c.send("GET / HTTP/1.0\r\n\r\n")
		got, err := io.ReadAll(c)
		Expect(err).To(MatchError(syscall.ECONNRESET), string(got))
	})

	DescribeTable("answers a head beyond the limits and closes the connection",
		func(sent string, status int) {
			address, _, guard := startCallers(limits, ok)
			c := connect(address)
			c.send(sent)
			Expect(c.receive()).To(Equal(status))
			Eventually(func() int64 {
				guard.mu.Lock()
				defer guard.mu.Unlock()
				return guard.headUsed
			}, "10s").Should(BeZero())
		},
		Entry("a head over 64 KiB", get+"X: "+strings.Repeat("a", 70<<10), 431),
		Entry("an empty line before a request", "\r\n"+get+"\r\n", 400),
	)
})

var _ = Describe("LimitsOf", func() {
	// 360 clients of a data centre, on four machines and with pools of four connections, and
	// links of two kinds from 60 hosts, each dialed again while the old one is open.
	DescribeTable("leaves room for all ordinary clients of a host",
		func(memoryMB int) {
			l := LimitsOf(Resources{MemoryMB: memoryMB, Descriptors: 4100})
			Expect(l.Callers).To(BeNumerically(">=", 360))
			Expect(l.Links).To(BeNumerically(">=", 4*60))
			Expect(l.Streams).To(BeNumerically(">=", 360))
			Expect(l.Callers + 2*l.Operators + l.Links).To(BeNumerically("<", 4100*3/4))
		},
		Entry("the smallest", 134), Entry("most", 184),
	)
})
