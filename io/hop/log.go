package hop

import (
	"io"
	"log"
)

// discardLog drops the lines of net/http about broken handshakes: any
// process that connects could fill the log with them. Refused handshakes are
// counted instead.
var discardLog = log.New(io.Discard, "", 0)
