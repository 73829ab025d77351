package process

import (
	"os/exec"
	"runtime"
	"sync"
)

// startRequest is a command to start and where to report the result.
type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// startRequests returns the queue of the thread that starts all children. The
// kernel sends the parent death signal when the starting thread ends, not the
// process, so children are started on one thread that never ends.
var startRequests = sync.OnceValue(func() chan startRequest {
	requests := make(chan startRequest)
	go func() {
		runtime.LockOSThread()
		for request := range requests {
			request.result <- request.cmd.Start()
		}
	}()
	return requests
})

func startOnThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	startRequests() <- startRequest{cmd: cmd, result: result}
	return <-result
}
