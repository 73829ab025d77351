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

// source is a daemon that gives one scripted status after the other and
// repeats the last.
type source struct {
	mu       sync.Mutex
	statuses []operator.Status
	ready    kernel.Readiness
}

func (s *source) Host() id.Host { return "counter-reduit-1" }

func (s *source) Readiness() kernel.Readiness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (s *source) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = kernel.Draining
	return nil
}

func (s *source) Trace(w io.Writer) error {
	_, err := io.WriteString(w, "{\"event\":\"tick\"}\n")
	return err
}

func (s *source) Status(context.Context) (operator.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.statuses) == 0 {
		return operator.Status{}, refusal.New(refusal.Leaving, refusal.NotRun)
	}
	status := s.statuses[0]
	if len(s.statuses) > 1 {
		s.statuses = s.statuses[1:]
	}
	status.AsOf = id.InstantOf(time.Now().Add(time.Hour)) // shown as an age of 0
	return status, nil
}

func (s *source) View(host id.Host) (*snapshot.View, error) {
	if host != s.Host() {
		return nil, &operator.Error{Kind: operator.NotFound, Problem: "no proxy " + string(host), Remedy: "use a name from status"}
	}
	return snapshot.New(7, document.NewSet()).View(host), nil
}

// script runs the directives of one data file. Files and outputs are below a
// folder of its own, written as $DIR.
type script struct {
	folder  string
	daemon  string
	nowhere string
	stop    func()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "write":
		return s.write(t, d)
	case "daemon":
		s.start(t, d.Input)
		return ""
	case "tree":
		return s.tree(t)
	case "run":
		return s.command(d.Input)
	}
	t.Fatalf("unknown directive %q", d.Cmd)
	return ""
}

func (s *script) write(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var name string
	d.ScanArgs(t, "file", &name)
	if err := os.WriteFile(filepath.Join(s.folder, name), []byte(d.Input), 0o644); err != nil {
		t.Fatal(err)
	}
	return ""
}

func (s *script) start(t *testing.T, statuses string) {
	t.Helper()
	s.stop()
	from := &source{ready: kernel.Serving}
	decoder := json.NewDecoder(strings.NewReader(statuses))
	for decoder.More() {
		var status operator.Status
		if err := decoder.Decode(&status); err != nil {
			t.Fatal(err)
		}
		from.statuses = append(from.statuses, status)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := operator.New(listener, operator.Options{Source: from})
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

func (s *script) tree(t *testing.T) string {
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

func (s *script) command(line string) string {
	line = strings.NewReplacer("$DIR", s.folder, "$DAEMON", s.daemon, "$NOWHERE", s.nowhere).Replace(line)
	var out, errOut bytes.Buffer
	code := client.Run(context.Background(), strings.Fields(line), &out, &errOut)
	text := fmt.Sprintf("%s%sexit %d\n", out.String(), prefixed("! ", errOut.String()), code)
	return strings.NewReplacer(s.folder, "$DIR", s.daemon+":", "$DAEMON:", s.daemon, "$DAEMON", s.nowhere, "$NOWHERE").Replace(text)
}

func prefixed(prefix, text string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		out.WriteString(prefix + line)
	}
	return out.String()
}

// Guards against commands whose exit code, output or remedy changes under the
// scripts of the operators.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata/commands", func(t *testing.T, path string) {
		s := &script{folder: t.TempDir(), daemon: "127.0.0.1:1", stop: func() {}, nowhere: closedAddress(t)}
		defer func() { s.stop() }()
		datadriven.RunTest(t, path, s.run)
	})
}

// stopAfter cancels the command when it has written a number of lines.
type stopAfter struct {
	lines  int
	cancel context.CancelFunc
}

func (s *stopAfter) Write(data []byte) (int, error) {
	s.lines -= bytes.Count(data, []byte("\n"))
	if s.lines <= 0 {
		s.cancel()
	}
	return len(data), nil
}

// Guards against a watch that ends at the first answer, or with an error when
// the operator interrupts it.
func TestWatchRepeatsUntilInterrupted(t *testing.T) {
	is := is.New(t)
	s := &script{stop: func() {}}
	s.start(t, `{"Domains":[]}`)
	defer func() { s.stop() }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	out := &stopAfter{lines: 2, cancel: cancel}
	code := client.Run(ctx, []string{"status", "--watch", "--output", "json", "--address", s.daemon}, out, io.Discard)
	is.Equal(code, client.Success)
	is.Equal(out.lines, 0)
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against parts over the platform's limit and against documents that
// are lost or changed at the border of two parts.
func TestBuildSplitsAtTheLimit(t *testing.T) {
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
