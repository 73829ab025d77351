package hop

import (
	"io"
	"log"
)

// discardLog drops the messages of net/http about failed handshakes: any process
// that connects could fill the log with them. Failed handshakes are counted
// instead.
var discardLog = log.New(io.Discard, "", 0)
