package converge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/bench/process"
	"marjoramsaddle/bench/rig"
	"marjoramsaddle/core/id"
)

const (
	daemonProgram = "marjoramsaddled"
	sentMetric    = "marjoramsaddle_control_sent_bytes"
	// logTime is the format of times in the daemons' logs.
	logTime = "2006-01-02T15:04:05.000Z0700"
)

// The messages of the daemon's log that a run reads.
const (
	messageStarted  = "daemon: started"
	messageInForce  = "spread: version in force"
	messageDangling = "daemon: view refused, routes lead to missing services"
)

// daemon is one daemon over all its restarts.
type daemon struct {
	host     fleet.Host
	settings string
	log      string
	process  *process.Process
	live     bool
	launched time.Time
	again    int // starts after an unexpected end

	// The totals of ended processes.
	sent int64
	cpu  time.Duration
	// baseCPU is the CPU time at the start of the measurement.
	baseCPU time.Duration
	rss     int64

	offset       int64
	startedAt    id.Instant
	slowestStart time.Duration
	history      []Observation
}

// logLine is one line of a daemon's log.
type logLine struct {
	Time    string     `json:"ts"`
	Message string     `json:"msg"`
	Version id.Version `json:"version"`
	Digest  id.Digest  `json:"digest"`
}

func (d *daemon) start(r *rig.Rig) error {
	started, err := r.Spawn(daemonProgram, string(d.host.Name), "run", "--settings", d.settings)
	if err != nil {
		return err
	}
	d.process, d.live, d.launched = started, true, time.Now()
	return nil
}

// kill ends the process after its totals were read.
func (d *daemon) kill() {
	d.live = false
	if sent, err := d.sentNow(); err == nil {
		d.sent += sent
	}
	if usage, err := d.process.Usage(); err == nil {
		d.cpu += usage.CPU
		d.rss = max(d.rss, usage.RSSPeakBytes)
	}
	d.process.Kill()
}

// sentNow returns the control bytes that the running process has sent.
func (d *daemon) sentNow() (int64, error) {
	response, err := http.Get("http://" + d.host.Operator.String() + "/metrics")
	if err != nil {
		return 0, fmt.Errorf("read metrics of %s: %w", d.host.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("read metrics of %s: %w", d.host.Name, err)
	}
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, sentMetric) {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		return int64(value), err
	}
	return 0, fmt.Errorf("%s has no metric %s", d.host.Name, sentMetric)
}

// cpuNow returns the CPU time of all processes of the host.
func (d *daemon) cpuNow() (time.Duration, error) {
	if !d.live {
		return d.cpu, nil
	}
	usage, err := d.process.Usage()
	if err != nil {
		return 0, err
	}
	d.rss = max(d.rss, usage.RSSPeakBytes)
	return d.cpu + usage.CPU, nil
}

// follow reads what the daemon has logged since the last call.
func (d *daemon) follow() error {
	file, err := os.Open(d.log)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(d.offset, io.SeekStart); err != nil {
		return err
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return err
	}
	whole := data[:bytes.LastIndexByte(data, '\n')+1]
	d.offset += int64(len(whole))
	for line := range bytes.Lines(whole) {
		d.apply(line)
	}
	return nil
}

// apply takes over one line. Lines that are not JSON, for example of a panic,
// are left to the reader of the log.
func (d *daemon) apply(data []byte) {
	var line logLine
	if json.Unmarshal(data, &line) != nil {
		return
	}
	parsed, err := time.Parse(logTime, line.Time)
	if err != nil {
		return
	}
	at := id.InstantOf(parsed)
	switch line.Message {
	case messageStarted:
		d.startedAt = at
	case messageInForce:
		if d.startedAt != 0 {
			d.slowestStart = max(d.slowestStart, at.Sub(d.startedAt))
			d.startedAt = 0
		}
		d.history = append(d.history, Observation{Host: d.host.Name, Version: line.Version, At: at, digest: line.Digest})
	case messageDangling:
		d.history = append(d.history, Observation{Host: d.host.Name, Version: d.inForce(), At: at, Dangling: 1, refused: true})
	}
}

// inForce returns the version that came into force last.
func (d *daemon) inForce() id.Version {
	if len(d.history) == 0 {
		return 0
	}
	return d.history[len(d.history)-1].Version
}

func logOf(folder string, host id.Host) string { return filepath.Join(folder, string(host)+".log") }
