package client_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"marjoramsaddle/client"
	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/io/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedDaemon is an operator.Source that returns its statuses in turn and
// repeats the last one. Without statuses, it refuses status requests.
type scriptedDaemon struct {
	mu       sync.Mutex
	statuses []operator.Status
	ready    kernel.Readiness
}

func (s *scriptedDaemon) Host() id.Host { return "counter-reduit-1" }

func (s *scriptedDaemon) Readiness() kernel.Readiness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (s *scriptedDaemon) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = kernel.Draining
	return nil
}

func (s *scriptedDaemon) Trace(w io.Writer) error {
	_, err := io.WriteString(w, "{\"event\":\"tick\"}\n")
	return err
}

func (s *scriptedDaemon) Status(context.Context) (operator.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.statuses) == 0 {
		return operator.Status{}, refusal.New(refusal.Leaving, refusal.NotRun)
	}
	status := s.statuses[0]
	if len(s.statuses) > 1 {
		s.statuses = s.statuses[1:]
	}
	// A time in the future is reported as age 0, which keeps the output stable.
	status.AsOf = id.InstantOf(time.Now().Add(time.Hour))
	return status, nil
}

func (s *scriptedDaemon) View(host id.Host) (*snapshot.View, error) {
	if host != s.Host() {
		return nil, &operator.Error{Kind: operator.NotFound, Problem: "no proxy " + string(host), Remedy: "use a name from status"}
	}
	return snapshot.New(7, document.NewSet()).View(host), nil
}

// scriptRunner executes the directives of one test data file, with all files in
// a folder that is written as $DIR. The daemon's address is written as $DAEMON,
// and an address on which nothing listens as $NOWHERE.
type scriptRunner struct {
	folder     string
	daemon     string
	closedAddr string
	stop       func()
}

func (s *scriptRunner) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "write":
		return s.write(t, d)
	case "daemon":
		s.startDaemon(t, d.Input)
		return ""
	case "tree":
		return s.listFiles(t)
	case "run":
		return s.runCommand(d.Input)
	}
	t.Fatalf("unknown directive %q", d.Cmd)
	return ""
}

func (s *scriptRunner) write(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var name string
	d.ScanArgs(t, "file", &name)
	if err := os.WriteFile(filepath.Join(s.folder, name), []byte(d.Input), 0o644); err != nil {
		t.Fatal(err)
	}
	return ""
}

func (s *scriptRunner) startDaemon(t *testing.T, statuses string) {
	t.Helper()
	s.stop()
	fake := &scriptedDaemon{ready: kernel.Serving}
	decoder := json.NewDecoder(strings.NewReader(statuses))
	for decoder.More() {
		var status operator.Status
		if err := decoder.Decode(&status); err != nil {
			t.Fatal(err)
		}
		fake.statuses = append(fake.statuses, status)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := operator.New(listener, operator.Options{LocalDaemon: fake})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	s.daemon = listener.Addr().String()
	s.stop = func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

func (s *scriptRunner) listFiles(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	err := filepath.WalkDir(s.folder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			out.WriteString(strings.TrimPrefix(path, s.folder+"/") + "\n")
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func (s *scriptRunner) runCommand(line string) string {
	line = strings.NewReplacer("$DIR", s.folder, "$DAEMON", s.daemon, "$NOWHERE", s.closedAddr).Replace(line)
	var out, errOut bytes.Buffer
	code := client.Run(context.Background(), strings.Fields(line), &out, &errOut)
	text := fmt.Sprintf("%s%sexit %d\n", out.String(), prefixLines("! ", errOut.String()), code)
	return strings.NewReplacer(s.folder, "$DIR", s.daemon+":", "$DAEMON:", s.daemon, "$DAEMON", s.closedAddr, "$NOWHERE").Replace(text)
}

func prefixLines(prefix, text string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		out.WriteString(prefix + line)
	}
	return out.String()
}

// Guards against changes of exit codes, outputs or remedies, which would break
// operators' scripts.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata/commands", func(t *testing.T, path string) {
		s := &scriptRunner{folder: t.TempDir(), daemon: "127.0.0.1:1", stop: func() {}, closedAddr: closedAddress(t)}
		defer func() { s.stop() }()
		datadriven.RunTest(t, path, s.run)
	})
}

// cancelAfterLines is an output that cancels the command's context once the
// remaining lines have been written.
type cancelAfterLines struct {
	remaining int
	cancel    context.CancelFunc
}

func (c *cancelAfterLines) Write(data []byte) (int, error) {
	c.remaining -= bytes.Count(data, []byte("\n"))
	if c.remaining <= 0 {
		c.cancel()
	}
	return len(data), nil
}

// Guards against status --watch ending after the first response, or exiting
// with an error when the operator interrupts it.
func TestWatchRepeatsUntilInterrupted(t *testing.T) {
	is := is.New(t)
	s := &scriptRunner{stop: func() {}}
	s.startDaemon(t, `{"Domains":[]}`)
	defer func() { s.stop() }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	out := &cancelAfterLines{remaining: 2, cancel: cancel}
	code := client.Run(ctx, []string{"status", "--watch", "--output", "json", "--address", s.daemon}, out, io.Discard)
	is.Equal(code, client.Success)
	is.Equal(out.remaining, 0)
}

// closedAddress returns an address on which nothing listens any more.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against parts that exceed the platform's limit, and against documents
// lost or changed where one part ends and the next begins.
func TestBuildSplitsAtPartLimit(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	const documents = 9000
	text := make([]string, 0, documents)
	for index := range documents {
		text = append(text, fmt.Sprintf(`{"kind":"proxy","name":"host-%05d","labels":{"note":%q}}`, index, strings.Repeat("n", 63)))
	}
	file := filepath.Join(folder, "proxies.json")
	is.NoErr(os.WriteFile(file, []byte("["+strings.Join(text, ",\n")+"]"), 0o644))
	var out, errOut bytes.Buffer
	is.Equal(client.Run(t.Context(), []string{"build", "--out", folder, file}, &out, &errOut), client.Success)

	data, err := os.ReadFile(filepath.Join(folder, manifest.Key))
	is.NoErr(err)
	m, err := manifest.Decode(data)
	is.NoErr(err)
	is.Equal(len(m.Parts), 2) // 9,000 documents of about 124 bytes
	parts := map[id.Digest][]byte{}
	for _, part := range m.Parts {
		content, err := os.ReadFile(filepath.Join(folder, part.Key()))
		is.NoErr(err)
		is.Equal(len(content), part.Bytes)
		parts[part.SHA256] = content
	}
	built, err := m.Assemble(parts)
	is.NoErr(err)
	whole := document.NewSet()
	is.NoErr(whole.Add("all", []byte("["+strings.Join(text, ",")+"]")))
	is.Equal(snapshot.New(1, built).Digest, snapshot.New(1, whole).Digest)
}
