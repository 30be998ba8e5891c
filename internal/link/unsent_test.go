package link_test

import (
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/link"
)

var _ = Describe("a link", func() {
	It("is delivered once the peer has received what was written", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }() // nothing listens after the test
		raw, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		peer, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		conn := link.NewCoalescingConn(raw)
		Expect(link.IsDelivered(conn)).To(BeTrue())

		const size = 16 << 20 // more than the kernel buffers for a peer that does not read
		written := make(chan error)
		go func() {
			for range size >> 14 {
				if _, err := conn.Write(make([]byte, 1<<14)); err != nil {
					written <- err
					return
				}
			}
			written <- nil
		}()
		Eventually(func() bool { return link.IsDelivered(conn) }, "20s").Should(BeFalse())
		Consistently(func() bool { return link.IsDelivered(conn) }, "100ms").Should(BeFalse())
		received := make(chan error)
		go func() {
			_, err := io.CopyN(io.Discard, peer, size)
			received <- err
		}()
		Expect(<-written).To(Succeed())
		Expect(<-received).To(Succeed())
		Eventually(func() bool { return link.IsDelivered(conn) }, "20s").Should(BeTrue())
		Expect(conn.Close()).To(Succeed())
		Expect(link.IsDelivered(conn)).To(BeTrue(), "nothing is owed on a closed link")
	})

	It("reports that no process listens, apart from other failures", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		dialer := link.NewDialer(link.Config{}, link.ClassRequest, link.Identity{}, &link.Counter{})
		defer dialer.Close()
		for range 2 { // the second attempt waits to redial
			_, err = pull(dialer, address)
			Expect(err).To(MatchError(link.ErrNoListener))
			Expect(err).To(MatchError(link.ErrUnreachable))
		}
	})
})
