package capacity

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// serveBackend runs a backend server without work of its own. The query
// parameter wait_ms holds an answer back.
func serveBackend(address string) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

func answer(w http.ResponseWriter, r *http.Request) {
	if wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
		time.Sleep(time.Duration(wait) * time.Millisecond)
	}
	_, _ = w.Write([]byte("12 in stock\n"))
}
