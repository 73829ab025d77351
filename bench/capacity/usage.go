package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cpuOf returns the CPU time of a process in nanoseconds, summed over its
// threads: the clock ticks of /proc/<id>/stat are too coarse for short phases.
// The Go runtime keeps its threads, so none is missing from the sum.
func cpuOf(process int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process))
	if err != nil {
		return 0, err
	}
	if len(files) == 0 {
		return 0, fmt.Errorf("no thread of process %d: it has ended", process)
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // The thread has just ended.
		}
		first, _, _ := strings.Cut(string(text), " ")
		spent, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse %s: %w", file, err)
		}
		sum += time.Duration(spent)
	}
	return sum, nil
}

// ownCPU returns the CPU time of this process.
func ownCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
