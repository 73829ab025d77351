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
	// clockTick is the unit of CPU time in /proc, 1/100 s on Linux.
	clockTick = 10 * time.Millisecond
	// utimeField and stimeField count from the field after the program's name.
	utimeField    = 11
	stimeField    = 12
	bytesPerKByte = 1024
)

// Usage is what a process has used so far.
type Usage struct {
	CPU          time.Duration // user and system time
	RSSBytes     int64
	RSSPeakBytes int64
}

// Usage reads /proc. It fails once the process has ended.
func (p *Process) Usage() (Usage, error) {
	select {
	case <-p.ended:
		return Usage{}, fmt.Errorf("usage of %s: %w", p.name(), ErrExited)
	default:
	}
	return readUsage(fmt.Sprintf("/proc/%d", p.PID()))
}

func readUsage(folder string) (Usage, error) {
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return Usage{}, err
	}
	cpu, err := parseCPU(stat)
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPU:          cpu,
		RSSBytes:     parseKBytes(status, "VmRSS:"),
		RSSPeakBytes: parseKBytes(status, "VmHWM:"),
	}, nil
}

// parseCPU reads the user and system time. The program's name may hold spaces
// and brackets, so fields count from the last bracket.
func parseCPU(stat []byte) (time.Duration, error) {
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= stimeField {
		return 0, fmt.Errorf("parse stat: %d fields", len(fields))
	}
	ticks := int64(0)
	for _, field := range []int{utimeField, stimeField} {
		n, err := strconv.ParseInt(string(fields[field]), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse stat: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// parseKBytes returns a field of status in bytes, or 0 if it is missing, as it
// is for a process that is ending.
func parseKBytes(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != name {
			continue
		}
		n, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0
		}
		return n * bytesPerKByte
	}
	return 0
}
