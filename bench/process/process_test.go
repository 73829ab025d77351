package process_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/bench/process"
)

var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "process-test-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "standin-backend")
	if out, err := exec.Command("go", "build", "-o", program, "marjoramsaddle/cmd/standin-backend").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

func freeAddress(is *is.I) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func startBackend(t *testing.T, args ...string) (child *process.Process, url string) {
	is := is.New(t)
	address := freeAddress(is)
	args = append(args, "--listen", address, "--control", freeAddress(is))
	child, err := process.Start(process.Spec{Path: program, Args: args})
	is.NoErr(err)
	t.Cleanup(child.Kill)
	url = "http://" + address
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(child.WaitReady(ctx, process.HTTPReady(url+"/healthz")))
	return child, url
}

// Guards against simulated servers that abort requests when an experiment stops them.
func TestStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	child, url := startBackend(t, "--service-time", "400ms", "--drain-notice", "100ms")
	status := make(chan int, 1)
	go func() {
		response, err := http.Get(url + "/stock/x")
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(child.Stop(ctx))
	is.Equal(<-status, http.StatusOK)
	_, err := child.Usage()
	is.True(errors.Is(err, process.ErrExited))
	is.True(errors.Is(child.Pause(), process.ErrExited))
}

// Guards against Pause not suspending the process, and against CPU usage that does
// not grow.
func TestPauseResumeAndUsage(t *testing.T) {
	is := is.New(t)
	child, url := startBackend(t)
	client := &http.Client{Timeout: 200 * time.Millisecond}
	get := func() error {
		response, err := client.Get(url + "/files/20000000")
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	is.NoErr(child.Pause())
	is.True(get() != nil)
	is.NoErr(child.Resume())
	client.Timeout = 20 * time.Second
	before, err := child.Usage()
	is.NoErr(err)
	var after process.Usage
	for deadline := time.Now().Add(20 * time.Second); after.CPU <= before.CPU && time.Now().Before(deadline); {
		is.NoErr(get())
		after, err = child.Usage()
		is.NoErr(err)
	}
	is.True(after.CPU > before.CPU)
	is.True(after.RSSBytes > 1<<20)
	is.True(after.RSSPeakBytes >= after.RSSBytes/2)
	child.Kill()
	is.True(get() != nil)
}

// Guards against WaitReady continuing after the process has failed.
func TestWaitReadyFailsWhenTheProcessExits(t *testing.T) {
	is := is.New(t)
	child, err := process.Start(process.Spec{Path: program, Args: []string{"--no-such-flag"}})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err = child.WaitReady(ctx, process.HTTPReady("http://"+freeAddress(is)))
	is.True(errors.Is(err, process.ErrExited))
}
