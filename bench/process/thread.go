package process

import (
	"os/exec"
	"runtime"
	"sync"
)

// startRequest is a command to start and the channel for its result.
type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// startRequests returns the queue of the thread that starts all children. The kernel
// sends the parent death signal when the thread that started the child exits, not the
// process, so all children are started on one thread that never exits.
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
