package testbed

import (
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTicks is the unit of processor times in /proc: USER_HZ, 100 a
	// second on all Linux platforms that Go runs on.
	clockTicks = 100
	// fieldsBeforeTimes is how many fields of /proc/PID/stat stand between the
	// command's closing parenthesis and utime.
	fieldsBeforeTimes = 11
)

// CPUTime gives the processor time that a process has used. Errors: Failed.
func CPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, Failed.Wrap(err, "processor time")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < fieldsBeforeTimes+2 {
		return 0, Failed.New("stat of process %d: %q", pid, data)
	}
	ticks := 0
	for _, f := range fields[fieldsBeforeTimes : fieldsBeforeTimes+2] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, Failed.Wrap(err, "stat of process %d", pid)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// ResidentKB gives the memory that a process holds, in kB. Errors: Failed.
func ResidentKB(pid int) (float64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, Failed.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0, Failed.Wrap(err, "memory")
			}
			return float64(kb), nil
		}
	}
	return 0, Failed.New("process %d has no VmRSS", pid)
}
