package capacity

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// ProcessOptions says how to start real processes for the slopes that need them.
type ProcessOptions struct {
	// Bin holds the programs, Deploy the deployments.
	Bin    string
	Deploy string
	// ObservationTime is how long a deployment without callers is measured.
	ObservationTime time.Duration
}

// startTimeout bounds how long a deployment may take to serve.
const startTimeout = 60 * time.Second

// settleTime lets the burst of the start pass: metrics are written down once a
// second, so that what was sent just before would count as idle.
const settleTime = 3 * time.Second

// metricsTimeout bounds one look at a process's metrics.
const metricsTimeout = 5 * time.Second

// idleCost is what one process spends while no caller comes.
type idleCost struct {
	// cpu is the share of a core, in percent.
	cpu float64
	// memory is resident, in MB.
	memory float64
	// bytes are sent and received between our own processes, per second.
	bytes float64
}

// idleFleet is what the processes of one deployment spend.
type idleFleet struct {
	// entry is the mean of all entries, leader the control replica that
	// spends most, follower the mean of the others.
	entry    idleCost
	leader   idleCost
	follower idleCost
}

// idle starts a deployment with that many entries and engines in each data
// centre and watches it.
func (p ProcessOptions) idle(entries, engines int) (idleFleet, error) {
	dir, err := os.MkdirTemp("", "goldcrest-capacity-")
	if err != nil {
		return idleFleet{}, Failed.Wrap(err, "folder")
	}
	defer os.RemoveAll(dir)
	bed, err := testbed.New(testbed.Options{
		Bin: p.Bin, Dir: dir, Deploy: p.Deploy, Deployment: "qalhat", Entries: entries, Engines: engines,
	})
	if err != nil {
		return idleFleet{}, err
	}
	defer bed.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := bed.Start(ctx); err != nil {
		return idleFleet{}, err
	}
	time.Sleep(settleTime)
	return p.watch(bed)
}

func (p ProcessOptions) watch(bed *testbed.Bed) (idleFleet, error) {
	entries, err := p.costs(bed.Entries)
	if err != nil {
		return idleFleet{}, err
	}
	control, err := p.costs(bed.Control)
	if err != nil {
		return idleFleet{}, err
	}
	fleet := idleFleet{entry: mean(entries)}
	busiest := 0
	for i, c := range control {
		if c.bytes > control[busiest].bytes {
			busiest = i
		}
	}
	fleet.leader = control[busiest]
	fleet.follower = mean(append(control[:busiest:busiest], control[busiest+1:]...))
	return fleet, nil
}

// costs measures the processes for ObservationTime.
func (p ProcessOptions) costs(list []*testbed.Process) ([]idleCost, error) {
	before, err := readings(list)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	time.Sleep(p.ObservationTime)
	after, err := readings(list)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	out := make([]idleCost, len(list))
	for i := range list {
		out[i] = idleCost{
			cpu:    100 * (after[i].cpu - before[i].cpu).Seconds() / seconds,
			memory: after[i].residentKB / 1000,
			bytes:  (after[i].bytes - before[i].bytes - before[i].page) / seconds,
		}
	}
	return out, nil
}

// reading is one look at a process.
type reading struct {
	cpu        time.Duration
	residentKB float64
	bytes      float64
	// page is the size of the metrics page that told bytes. The process sent
	// it after it counted them, so that the next reading's bytes hold it.
	page float64
}

func readings(list []*testbed.Process) ([]reading, error) {
	out := make([]reading, len(list))
	for i, proc := range list {
		cpu, err := testbed.CPUTime(proc.PID())
		if err != nil {
			return nil, err
		}
		kb, err := testbed.ResidentKB(proc.PID())
		if err != nil {
			return nil, err
		}
		page, err := metricsPage(proc.MetricsAddress)
		if err != nil {
			return nil, err
		}
		bytes, err := wireBytes(page)
		if err != nil {
			return nil, err
		}
		out[i] = reading{cpu: cpu, residentKB: kb, bytes: bytes, page: float64(len(page))}
	}
	return out, nil
}

// metricsPage fetches a process's metrics.
func metricsPage(address string) (string, error) {
	// Without compression, so that its length is what went over the wire.
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	client := http.Client{Timeout: metricsTimeout, Transport: transport}
	resp, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return "", Failed.Wrap(err, "metrics")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", Failed.Wrap(err, "metrics")
	}
	return string(body), nil
}

// wireBytes adds up the counters of bytes sent and received.
func wireBytes(page string) (float64, error) {
	total := 0.0
	for line := range strings.Lines(page) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || !(strings.HasSuffix(name, rpc.MetricBytesSent) || strings.HasSuffix(name, rpc.MetricBytesReceived)) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, Failed.Wrap(err, "metric %s", name)
		}
		total += v
	}
	return total, nil
}

func mean(list []idleCost) idleCost {
	var sum idleCost
	for _, c := range list {
		sum.cpu += c.cpu
		sum.memory += c.memory
		sum.bytes += c.bytes
	}
	n := float64(len(list))
	return idleCost{cpu: sum.cpu / n, memory: sum.memory / n, bytes: sum.bytes / n}
}

// processSlopes watch real deployments; each is started once for all of its
// slopes.
func (p ProcessOptions) slopes() []Slope {
	byEntries := memoize(func(n int) (idleFleet, error) { return p.idle(n/dataCentres, 1) })
	byEngines := memoize(func(n int) (idleFleet, error) { return p.idle(1, n/dataCentres) })
	var list []Slope
	for _, s := range []struct {
		name, what string
		unit       Unit
		role       string
		value      func(idleFleet) float64
	}{
		{"idle-entry-cpu", "an entry's processor time without callers", Percent, "entry", func(f idleFleet) float64 { return f.entry.cpu }},
		{"idle-entry-memory", "an entry's resident memory", Megabytes, "entry", func(f idleFleet) float64 { return f.entry.memory }},
		{"idle-entry-bytes", "an entry's bytes to and from our own processes", BytesPerSecond, "entry", func(f idleFleet) float64 { return f.entry.bytes }},
		{"idle-leader-cpu", "the leader's processor time without callers", Percent, controlRole, func(f idleFleet) float64 { return f.leader.cpu }},
		{"idle-leader-memory", "the leader's resident memory", Megabytes, controlRole, func(f idleFleet) float64 { return f.leader.memory }},
		{"idle-leader-bytes", "the leader's bytes to and from our own processes", BytesPerSecond, controlRole, func(f idleFleet) float64 { return f.leader.bytes }},
		{"idle-follower-cpu", "a follower's processor time", Percent, controlRole, func(f idleFleet) float64 { return f.follower.cpu }},
		{"idle-follower-bytes", "a follower's bytes", BytesPerSecond, controlRole, func(f idleFleet) float64 { return f.follower.bytes }},
	} {
		list = append(list,
			Slope{Name: s.name + "-per-entry", Role: s.role, Description: s.what + ", 3 engines", SizeName: "entries", Unit: s.unit,
				Sizes: []int{3, 9, 18, 36}, Measure: of(byEntries, s.value)},
			Slope{Name: s.name + "-per-engine", Role: s.role, Description: s.what + ", 3 entries", SizeName: "engines", Unit: s.unit,
				Sizes: []int{3, 9, 18, 36}, Measure: of(byEngines, s.value)})
	}
	return list
}

// dataCentres is how many a bed has.
const dataCentres = 3

func of(fleet func(int) (idleFleet, error), value func(idleFleet) float64) func(int) (float64, error) {
	return func(n int) (float64, error) {
		f, err := fleet(n)
		return value(f), err
	}
}

// memoize remembers what f gave for each size.
func memoize(f func(int) (idleFleet, error)) func(int) (idleFleet, error) {
	known := make(map[int]idleFleet)
	return func(n int) (idleFleet, error) {
		if fleet, ok := known[n]; ok {
			return fleet, nil
		}
		fleet, err := f(n)
		if err == nil {
			known[n] = fleet
		}
		return fleet, err
	}
}
