package hostile

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/reflect/protoreflect"

	"boragefall/internal/wire"
)

const (
	messageSeed = 11
	// messageStreams is the number of streams with a message of random fields.
	messageStreams = 1500
	maxNesting     = 3
)

// fill sets random fields of a message to random values.
func fill(m protoreflect.Message, random *rand.Rand, nesting int) {
	fields := m.Descriptor().Fields()
	for _, i := range random.Perm(fields.Len()) { // the last field of a oneof counts
		field := fields.Get(i)
		nested := field.Kind() == protoreflect.MessageKind
		if random.IntN(2) == 0 || nested && nesting == 0 || field.IsMap() {
			continue
		}
		for range 1 + random.IntN(3) {
			value := scalar(field, random)
			if nested {
				value = m.NewField(field)
				if field.IsList() {
					value = value.List().NewElement()
				}
				fill(value.Message(), random, nesting-1)
			}
			if field.IsList() {
				m.Mutable(field).List().Append(value)
			} else {
				m.Set(field, value)
			}
		}
	}
}

// scalar returns a random value, often one at the end of the range.
func scalar(field protoreflect.FieldDescriptor, random *rand.Rand) protoreflect.Value {
	n := []uint64{0, 1, random.Uint64N(100), 1<<31 - 1, 1 << 31, 1<<63 - 1, 1 << 63, 1<<64 - 1}[random.IntN(8)]
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(n%2 == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(n))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(int64(n)))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(n)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(int64(n)))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString([]string{"", "status", "host-0", "GET", "/status/a", "a b\r\n", "\u00e9", "127.0.3.1:1"}[random.IntN(8)])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(make([]byte, random.IntN(40)))
	default:
		return field.Default()
	}
}

// messageCrowd opens streams with messages of random fields on links of both kinds.
func messageCrowd(address string) *crowd {
	random := rand.New(rand.NewPCG(messageSeed, 0))
	c := &crowd{}
	var session *yamux.Session
	for i := range messageStreams {
		if session == nil || session.IsClosed() || i%100 == 0 {
			session = c.session(address, byte(i/100%2))
		}
		var out bytes.Buffer
		opening := &wire.Opening{}
		fill(opening.ProtoReflect(), random, maxNesting)
		_, err := protodelim.MarshalTo(&out, opening)
		Expect(err).NotTo(HaveOccurred())
		if stream, err := session.Open(); err == nil { // the node may have closed the link
			_ = stream.SetDeadline(time.Now().Add(sendLimit))
			_, _ = stream.Write(out.Bytes())
			if i%3 == 0 {
				_ = stream.Close() // it may be closed already
			}
		}
	}
	time.Sleep(2 * time.Second) // handlers that wait for a body or a change
	return c
}

func (c *crowd) session(address string, class byte) *yamux.Session {
	conn := c.dial(address)
	Expect(conn).NotTo(BeNil())
	_, _ = conn.Write([]byte{class}) // an error shows in the streams
	_ = conn.SetWriteDeadline(time.Time{})
	session, err := yamux.Client(conn, quietYamux())
	Expect(err).NotTo(HaveOccurred())
	c.conns = append(c.conns, session)
	return session
}

// Guards against messages whose fields are missing or out of range and end the process.
var _ = Describe("messages of random fields", Serial, func() {
	DescribeTable("don't end a node",
		withstands,
		Entry("platform, links", startPlatform, func(m *member) *crowd { return messageCrowd(m.links) }, overLink),
		Entry("plain, links", startPlain, func(m *member) *crowd { return messageCrowd(m.links) }, overLink),
	)
})
