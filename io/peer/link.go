package peer

import (
	"bufio"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/io/certificate"
)

// The codes of closed connections.
const (
	closeStopping  quic.ApplicationErrorCode = 0
	closeFailed    quic.ApplicationErrorCode = 1
	closeDuplicate quic.ApplicationErrorCode = 2
	closeSlow      quic.ApplicationErrorCode = 3
	closeUnwanted  quic.ApplicationErrorCode = 4
	closeBusy      quic.ApplicationErrorCode = 5
	closeIdentity  quic.ApplicationErrorCode = 6
)

// link is one connection with its send queue.
type link struct {
	peer       certificate.Identity
	connection *quic.Conn
	stream     *quic.Stream
	queue      chan *message.Frame
	closed     chan struct{}
	once       sync.Once
	outbound   bool
	since      time.Time
}

func newLink(peer certificate.Identity, connection *quic.Conn, stream *quic.Stream, outbound bool) *link {
	return &link{
		peer:       peer,
		outbound:   outbound,
		connection: connection,
		stream:     stream,
		queue:      make(chan *message.Frame, queueLength),
		closed:     make(chan struct{}),
		since:      time.Now(),
	}
}

func (l *link) close(code quic.ApplicationErrorCode) {
	l.once.Do(func() {
		close(l.closed)
		_ = l.connection.CloseWithError(code, "")
	})
}

// write sends queued messages until the link ends. Messages that wait together
// are written together.
func (l *link) write() {
	out := bufio.NewWriter(l.stream)
	for {
		select {
		case <-l.closed:
			return
		case frame := <-l.queue:
			if err := l.writeBatch(out, frame); err != nil {
				l.close(closeSlow)
				return
			}
		}
	}
}

func (l *link) writeBatch(out *bufio.Writer, frame *message.Frame) error {
	if err := l.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if _, err := protodelim.MarshalTo(out, frame); err != nil {
			return err
		}
		select {
		case frame = <-l.queue:
		default:
			return out.Flush()
		}
	}
}

// read hands messages to the sink until the link ends or a message can't be
// decoded.
func (l *link) read(sink Sink) {
	in := bufio.NewReader(l.stream)
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	for {
		frame := &message.Frame{}
		if err := options.UnmarshalFrom(in, frame); err != nil {
			return
		}
		sink(kernel.Received{Host: l.peer.Host, Frame: frame})
	}
}
