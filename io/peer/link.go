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

// The application error codes with which connections are closed.
const (
	closeStopping  quic.ApplicationErrorCode = 0
	closeFailed    quic.ApplicationErrorCode = 1
	closeDuplicate quic.ApplicationErrorCode = 2
	closeSlow      quic.ApplicationErrorCode = 3
	closeUnwanted  quic.ApplicationErrorCode = 4
	closeBusy      quic.ApplicationErrorCode = 5
	closeIdentity  quic.ApplicationErrorCode = 6
)

// link is one connection to a peer with its stream and its send queue.
type link struct {
	peer       certificate.Identity
	connection *quic.Conn
	stream     *quic.Stream
	queue      chan *message.Frame
	closed     chan struct{}
	closeOnce  sync.Once
	outbound   bool
	startedAt  time.Time
}

func newLink(peer certificate.Identity, connection *quic.Conn, stream *quic.Stream, outbound bool) *link {
	return &link{
		peer:       peer,
		outbound:   outbound,
		connection: connection,
		stream:     stream,
		queue:      make(chan *message.Frame, sendQueueLength),
		closed:     make(chan struct{}),
		startedAt:  time.Now(),
	}
}

// close closes the connection; only the first code is sent.
func (l *link) close(code quic.ApplicationErrorCode) {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.connection.CloseWithError(code, "")
	})
}

// writeLoop sends queued messages until the link is closed or a write fails.
func (l *link) writeLoop() {
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

// writeBatch writes the message and all that are queued behind it, and flushes
// once.
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

// readLoop passes messages to the sink until the link is closed or a message
// can't be decoded.
func (l *link) readLoop(sink Sink) {
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
