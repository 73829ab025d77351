package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTickDuration is the unit of CPU time in /proc: 1/100 s on Linux.
	clockTickDuration = 10 * time.Millisecond
	// utimeField and stimeField are indexes from the field after the program's name.
	utimeField  = 11
	stimeField  = 12
	bytesPerKiB = 1024
)

// Usage is the CPU time that a process has used so far, and its memory.
type Usage struct {
	CPU          time.Duration // user and system time
	RSSBytes     int64
	RSSPeakBytes int64
}

// Usage reads the process's usage from /proc. It fails once the process has exited.
func (p *Process) Usage() (Usage, error) {
	select {
	case <-p.exited:
		return Usage{}, fmt.Errorf("usage of %s: %w", p.name(), ErrExited)
	default:
	}
	return readUsage(fmt.Sprintf("/proc/%d", p.PID()))
}

func readUsage(procDir string) (Usage, error) {
	stat, err := os.ReadFile(procDir + "/stat")
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(procDir + "/status")
	if err != nil {
		return Usage{}, err
	}
	cpu, err := parseCPU(stat)
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPU:          cpu,
		RSSBytes:     parseKiB(status, "VmRSS:"),
		RSSPeakBytes: parseKiB(status, "VmHWM:"),
	}, nil
}

// parseCPU returns the sum of user and system time in /proc/<pid>/stat. The program's
// name may contain spaces and parentheses, so fields count from the last parenthesis.
func parseCPU(stat []byte) (time.Duration, error) {
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= stimeField {
		return 0, fmt.Errorf("parse stat: only %d fields after the name", len(fields))
	}
	ticks := int64(0)
	for _, field := range []int{utimeField, stimeField} {
		n, err := strconv.ParseInt(string(fields[field]), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse stat: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTickDuration, nil
}

// parseKiB returns a field of /proc/<pid>/status in bytes, or 0 if it is missing, as
// for a process that is exiting.
func parseKiB(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != name {
			continue
		}
		n, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0
		}
		return n * bytesPerKiB
	}
	return 0
}
