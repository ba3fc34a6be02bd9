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
	// Bin is the directory of the programs, Deploy that of the deployments.
	Bin    string
	Deploy string
	// ObservationTime is how long a deployment without callers is measured.
	ObservationTime time.Duration
}

// startTimeout bounds the time until a started deployment serves.
const startTimeout = 60 * time.Second

// settleTime is the wait between the start of a deployment and its measurement.
// Metrics are updated once a second, so that without it bytes sent during the start
// would count as idle traffic.
const settleTime = 3 * time.Second

// metricsTimeout bounds one request for a process's metrics.
const metricsTimeout = 5 * time.Second

// idleCost is what one process uses without requests of callers.
type idleCost struct {
	// cpu is the share of a core, in percent.
	cpu float64
	// memory is the resident memory in MB.
	memory float64
	// bytes are sent to and received from the deployment's own processes, per second.
	bytes float64
}

// idleDeployment is what the processes of one deployment use without callers.
type idleDeployment struct {
	// entry is the mean of all entries, leader the control replica with the most
	// bytes, follower the mean of the other replicas.
	entry    idleCost
	leader   idleCost
	follower idleCost
}

// measureIdle starts a deployment with the given numbers of entries and engines in
// each data centre and measures it.
func (p ProcessOptions) measureIdle(entries, engines int) (idleDeployment, error) {
	dir, err := os.MkdirTemp("", "goldcrest-capacity-")
	if err != nil {
		return idleDeployment{}, Failed.Wrap(err, "folder")
	}
	defer os.RemoveAll(dir)
	bed, err := testbed.New(testbed.Options{
		BinDir: p.Bin, Dir: dir, DeployDir: p.Deploy, Deployment: "qalhat", EntriesPerDataCentre: entries, EnginesPerDataCentre: engines,
	})
	if err != nil {
		return idleDeployment{}, err
	}
	defer bed.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := bed.Start(ctx); err != nil {
		return idleDeployment{}, err
	}
	time.Sleep(settleTime)
	return p.measureRunning(bed)
}

func (p ProcessOptions) measureRunning(bed *testbed.Bed) (idleDeployment, error) {
	entries, err := p.measureCosts(bed.Entries)
	if err != nil {
		return idleDeployment{}, err
	}
	control, err := p.measureCosts(bed.Control)
	if err != nil {
		return idleDeployment{}, err
	}
	deployment := idleDeployment{entry: mean(entries)}
	busiest := 0
	for i, c := range control {
		if c.bytes > control[busiest].bytes {
			busiest = i
		}
	}
	deployment.leader = control[busiest]
	deployment.follower = mean(append(control[:busiest:busiest], control[busiest+1:]...))
	return deployment, nil
}

// measureCosts measures the processes for ObservationTime.
func (p ProcessOptions) measureCosts(list []*testbed.Process) ([]idleCost, error) {
	before, err := takeReadings(list)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(p.ObservationTime)
	after, err := takeReadings(list)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	costs := make([]idleCost, len(list))
	for i := range list {
		costs[i] = idleCost{
			cpu:    100 * (after[i].cpu - before[i].cpu).Seconds() / seconds,
			memory: after[i].residentKB / 1000,
			bytes:  (after[i].bytes - before[i].bytes - before[i].pageBytes) / seconds,
		}
	}
	return costs, nil
}

// reading is one sample of a process's counters.
type reading struct {
	cpu        time.Duration
	residentKB float64
	bytes      float64
	// pageBytes is the size of the metrics page that bytes was read from. The process
	// sends the page after counting, so that the bytes of the next reading include it.
	pageBytes float64
}

func takeReadings(list []*testbed.Process) ([]reading, error) {
	result := make([]reading, len(list))
	for i, proc := range list {
		cpu, err := testbed.CPUTime(proc.PID())
		if err != nil {
			return nil, err
		}
		residentKB, err := testbed.ResidentKB(proc.PID())
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
		result[i] = reading{cpu: cpu, residentKB: residentKB, bytes: bytes, pageBytes: float64(len(page))}
	}
	return result, nil
}

// metricsPage fetches a process's metrics.
func metricsPage(address string) (string, error) {
	// Without compression the length of the page is the number of bytes sent.
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

// slopes measures real deployments. Each deployment is started only once for all of
// its slopes.
func (p ProcessOptions) slopes() []Slope {
	byEntries := memoize(func(n int) (idleDeployment, error) { return p.measureIdle(n/dataCentres, 1) })
	byEngines := memoize(func(n int) (idleDeployment, error) { return p.measureIdle(1, n/dataCentres) })
	var list []Slope
	for _, s := range []struct {
		name, what string
		unit       Unit
		role       string
		value      func(idleDeployment) float64
	}{
		{"idle-entry-cpu", "an entry's processor time without callers", Percent, "entry", func(f idleDeployment) float64 { return f.entry.cpu }},
		{"idle-entry-memory", "an entry's resident memory", Megabytes, "entry", func(f idleDeployment) float64 { return f.entry.memory }},
		{"idle-entry-bytes", "an entry's bytes to and from our own processes", BytesPerSecond, "entry", func(f idleDeployment) float64 { return f.entry.bytes }},
		{"idle-leader-cpu", "the leader's processor time without callers", Percent, controlRole, func(f idleDeployment) float64 { return f.leader.cpu }},
		{"idle-leader-memory", "the leader's resident memory", Megabytes, controlRole, func(f idleDeployment) float64 { return f.leader.memory }},
		{"idle-leader-bytes", "the leader's bytes to and from our own processes", BytesPerSecond, controlRole, func(f idleDeployment) float64 { return f.leader.bytes }},
		{"idle-follower-cpu", "a follower's processor time", Percent, controlRole, func(f idleDeployment) float64 { return f.follower.cpu }},
		{"idle-follower-bytes", "a follower's bytes", BytesPerSecond, controlRole, func(f idleDeployment) float64 { return f.follower.bytes }},
	} {
		list = append(list,
			Slope{Name: s.name + "-per-entry", Role: s.role, Description: s.what + ", 3 engines", SizeName: "entries", Unit: s.unit,
				Sizes: []int{3, 9, 18, 36}, Measure: measureWith(byEntries, s.value)},
			Slope{Name: s.name + "-per-engine", Role: s.role, Description: s.what + ", 3 entries", SizeName: "engines", Unit: s.unit,
				Sizes: []int{3, 9, 18, 36}, Measure: measureWith(byEngines, s.value)})
	}
	return list
}

// dataCentres is the number of data centres of a test bed.
const dataCentres = 3

func measureWith(deployment func(int) (idleDeployment, error), value func(idleDeployment) float64) func(int) (float64, error) {
	return func(n int) (float64, error) {
		f, err := deployment(n)
		return value(f), err
	}
}

// memoize caches the results of f by size.
func memoize(f func(int) (idleDeployment, error)) func(int) (idleDeployment, error) {
	cache := make(map[int]idleDeployment)
	return func(n int) (idleDeployment, error) {
		if deployment, ok := cache[n]; ok {
			return deployment, nil
		}
		deployment, err := f(n)
		if err == nil {
			cache[n] = deployment
		}
		return deployment, err
	}
}
