package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"

	"boragefall/internal/link"
	"boragefall/internal/telemetry"
)

var _ = Describe("the limits of a listener", func() {
	var closed atomic.Int64
	start := func(limits link.Limits) *link.Listener {
		limits.Closed = func(string, string) { closed.Add(1) }
		closed.Store(0)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := link.NewListener(link.Config{Limits: limits}, link.Identity{Host: "server"}, &link.Counter{}, listener, manifestEcho{}, telemetry.Silent())
		go l.Serve(context.Background())
		DeferCleanup(l.Close)
		return l
	}
	pulls := func(l *link.Listener) {
		GinkgoHelper()
		d := link.NewDialer(link.Config{}, link.ClassControl, link.Identity{}, &link.Counter{})
		defer d.Close()
		for range 50 {
			answer, err := pull(d, l.Address())
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.GetHeld()).To(BeTrue())
		}
	}

	It("closes streams that stall before their first message, rather than new ones", func() {
		l := start(link.Limits{Links: 8, Streams: 8})
		for range 2 {
			session := rawSession(l.Address())
			defer func() { _ = session.Close() }()
			for range 6 {
				_, err := session.OpenStream()
				Expect(err).NotTo(HaveOccurred())
			}
		}
		Eventually(closed.Load, "10s").Should(BeNumerically(">=", 4))
		pulls(l)
	})

	It("closes links that open no stream, rather than new ones", func() {
		l := start(link.Limits{Links: 8, Streams: 8})
		for range 12 {
			session := rawSession(l.Address())
			defer func() { _ = session.Close() }()
		}
		Eventually(closed.Load, "10s").Should(BeNumerically(">=", 4))
		pulls(l)
	})

	It("closes the link that keeps the most bytes unread", func() {
		l := start(link.Limits{Links: 8, Streams: 64, Bytes: 512 << 10})
		session := rawSession(l.Address())
		message := protowire.AppendVarint(nil, 250<<10)
		message = append(message, make([]byte, 200<<10)...)
		for range 6 {
			stream, err := session.OpenStream()
			if err != nil {
				break // the link is closed
			}
			_ = stream.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = stream.Write(message) // fails once the link is closed
		}
		Eventually(session.IsClosed, "10s").Should(BeTrue())
		Expect(closed.Load()).To(BeEquivalentTo(1))
		pulls(l)
	})
})
