package record

import (
	"bufio"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"marjoramsaddle/bench/process"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/trace"
)

const (
	fileMode = 0o600
	// versionMetric is the daemon's gauge of the version in force.
	versionMetric = "marjoramsaddle_version_in_force"
)

// life is one process of a daemon.
type life struct {
	host    id.Host
	number  int
	process *process.Process
	trace   string
	// floor is the version below which none may come into force.
	floor id.Version
	// goodAtEnd is the number of good versions published before the end.
	goodAtEnd int
	stated    trace.Expectation
}

// expectation returns the stated outcome of a life.
func (l *life) expectation(good []trace.Allowed) trace.Expectation {
	stated := l.stated
	for _, version := range good[:l.goodAtEnd] {
		if version.Version >= l.floor {
			stated.Allowed = append(stated.Allowed, version)
		}
	}
	return stated
}

// keep writes the traces and their stated outcomes to a folder.
func (r *run) keep(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	steps := strings.Join(r.steps, "\n") + "\n"
	if err := os.WriteFile(filepath.Join(folder, "steps.txt"), []byte(steps), fileMode); err != nil {
		return err
	}
	for _, ended := range r.lives {
		name := filepath.Join(folder, fmt.Sprintf("%s.%d", ended.host, ended.number))
		if err := compress(ended.trace, name+".trace.gz"); err != nil {
			return err
		}
		data, err := json.MarshalIndent(ended.expectation(r.good), "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(name+".expect.json", append(data, '\n'), fileMode); err != nil {
			return err
		}
	}
	return nil
}

func compress(from, to string) error {
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = source.Close() }()
	target, err := os.OpenFile(to, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	packed, err := gzip.NewWriterLevel(target, gzip.BestCompression)
	if err != nil {
		return err
	}
	_, err = io.Copy(packed, source)
	return errors.Join(err, packed.Close(), target.Close())
}

// awaitInForce waits until a daemon has a version or a newer one in force.
func awaitInForce(ctx context.Context, daemon *process.Process, address string, version id.Version) error {
	return daemon.WaitReady(ctx, func(ctx context.Context) error {
		current, err := inForce(ctx, address)
		if err == nil && current < version {
			err = fmt.Errorf("version %d in force, awaited is %d", current, version)
		}
		return err
	})
}

func inForce(ctx context.Context, address string) (id.Version, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), versionMetric) {
			continue
		}
		fields := strings.Fields(lines.Text())
		var version float64
		_, err := fmt.Sscan(fields[len(fields)-1], &version)
		return id.Version(version), err
	}
	return 0, errors.Join(errors.New("the metrics lack "+versionMetric), lines.Err())
}
