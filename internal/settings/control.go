package settings

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// ControlReplica is one replica of the group as settings bootstrap it.
type ControlReplica struct {
	// ID is the replica id, at least 1.
	ID uint64 `yaml:"id"`
	// Address is where its services listen, host:port.
	Address    string `yaml:"address"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
}

// Control holds the settings of goldcrest-control.
type Control struct {
	Common `yaml:"common"`
	// ReplicaID is this replica's id, at least 1; a new VM takes a new id.
	ReplicaID uint64 `yaml:"replica_id"`
	// Address is where other processes reach its services, host:port.
	Address string `yaml:"address"`
	// ListenAddress is where they listen, host:port, if that is not Address: where an
	// address translation or a forwarder stands before the VM. Default: Address.
	ListenAddress string `yaml:"listen_address"`
	// DataDir is the data folder on the VM's disk.
	DataDir string `yaml:"data_dir"`
	// Bootstrap lists the replicas of a new cluster. It counts only while the
	// data folder is empty and Join is false.
	Bootstrap []ControlReplica `yaml:"bootstrap"`
	// Join starts an empty data folder as a replica that waits to be added
	// with goldcrestctl replica add. Default false.
	Join bool `yaml:"join"`
	// BootstrapFromControl takes the place of ReplicaID and Bootstrap. At FirstStart a
	// replica whose Address is one of Common.Control is a first member, under an
	// id made from that address. Any other one, and one whose folder is lost,
	// draws an id and waits to be added. Default false.
	BootstrapFromControl bool `yaml:"group_from_control"`
	// ToleratedReplicaLosses is how many replicas may be lost at once. With it the group mends
	// itself: it keeps twice as many voters and one more, and puts replicas that
	// wait in the place of lost ones. Default 0: operators change the group.
	ToleratedReplicaLosses int `yaml:"bear_losses"`
	// FirstStart is true only while the whole deployment starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// RegistryAddress is where backend servers announce themselves to control
	// and operators of a relayed deployment call, host:port; empty for none.
	RegistryAddress string `yaml:"registry_address"`
	// MaxFiles is how many file descriptors the process may have; the connections of backend
	// servers take a part of them. Default 0: not known.
	MaxFiles int `yaml:"max_files"`
	// Roles bounds role changes where an operator's document says nothing of them.
	Roles declaration.Roles `yaml:"roles"`
	// Duties are calls outside of the deployment that one replica at a time makes.
	Duties Duties `yaml:"duties"`
	// ElectionTimeout: a follower that hears no leader for one to two times
	// this long stands for election. Default 400ms.
	ElectionTimeout time.Duration `yaml:"election_timeout"`
	// SnapshotEntries is how many log entries are applied between snapshots.
	// Default 2000.
	SnapshotEntries int `yaml:"snapshot_entries"`
	// OrderPause is the longest pause of a control process that is stated for
	// engines that ignore fencing tokens. Default 10s.
	OrderPause time.Duration `yaml:"order_pause"`
}

// Duties are calls outside of the deployment that one replica at a time makes.
type Duties struct {
	// Address is where they go, host:port; empty: there are none.
	Address string `yaml:"address"`
	// Lease is how long a new caller waits for the last call of the one before. Default 3s.
	Lease time.Duration `yaml:"lease"`
	// OrderServers lets servers be ordered there, of the services that are declared so.
	OrderServers bool `yaml:"order_servers"`
	// UsageWindow is the length of the windows that members' usage is reported for, as
	// Usage.Window of the entries; zero: usage is not reported.
	UsageWindow time.Duration `yaml:"usage_window"`
	// UsageReportDelay is how long after its end a window's report is due. Default 10s.
	UsageReportDelay time.Duration `yaml:"usage_late"`
}

func (d *Duties) check(file *yamlfile.File) {
	if d.Address == "" {
		return
	}
	checkAddress(file, "duties.address", d.Address)
	checkDuration(file, "duties.lease", d.Lease, 0, time.Minute)
	if d.UsageWindow != 0 {
		checkDuration(file, "duties.usage_window", d.UsageWindow, minUsageWindow, maxUsageWindow)
	}
	checkDuration(file, "duties.usage_late", d.UsageReportDelay, 5*time.Second, maxUsageWindow)
}

// LoadControl reads and checks a settings file of goldcrest-control.
func LoadControl(path string) (*Control, finding.List) {
	s := &Control{
		Common:          Common{Log: Log{Level: "info", SampleRouting: 1}},
		ElectionTimeout: DefaultElectionTimeout, SnapshotEntries: DefaultSnapshotEntries,
		OrderPause: DefaultOrderPause,
		Duties:     Duties{Lease: DefaultDutyLease, UsageReportDelay: DefaultUsageReportDelay},
	}
	file := load(path, s)
	if file == nil {
		return nil, unreadable(path)
	}
	s.check(file)
	s.usePort()
	s.formGroup()
	return s, file.Findings()
}

func (s *Control) check(file *yamlfile.File) {
	s.Common.check(file)
	if s.ReplicaID == 0 && !s.BootstrapFromControl {
		file.Add("replica_id", "must be at least 1")
	}
	if s.ToleratedReplicaLosses < 0 {
		file.Add("bear_losses", "is less than 0")
	}
	if s.MaxFiles < 0 {
		file.Add("max_files", "is less than 0")
	}
	if s.RegistryAddress != "" {
		checkAddress(file, "registry_address", s.RegistryAddress)
	}
	checkAddress(file, "address", s.Address)
	if s.ListenAddress != "" {
		checkAddress(file, "listen_address", s.ListenAddress)
	}
	if s.DataDir == "" {
		file.Add("data_dir", "is missing; name a folder on the VM's disk")
	}
	s.checkBootstrap(file)
	s.Duties.check(file)
	checkDuration(file, "election_timeout", s.ElectionTimeout, 50*time.Millisecond, time.Minute)
	checkPositive(file, "snapshot_entries", s.SnapshotEntries)
	checkDuration(file, "order_pause", s.OrderPause, time.Second, time.Hour)
}

func (s *Control) checkBootstrap(file *yamlfile.File) {
	if s.BootstrapFromControl {
		if len(s.Bootstrap) > 0 || s.ReplicaID != 0 || s.Join {
			file.Add("group_from_control", "takes the place of bootstrap, replica_id and join; leave them out")
		}
		return
	}
	if len(s.Bootstrap) == 0 && !s.Join {
		file.Add("bootstrap", "is empty: no quorum; list the replicas or set join: true")
	}
	ids := make(map[uint64]int)
	addresses := make(map[string]int)
	for i, r := range s.Bootstrap {
		path := elem("bootstrap", i)
		if r.ID == 0 {
			file.Add(path+".id", "must be at least 1")
		}
		checkAddress(file, path+".address", r.Address)
		if first, ok := ids[r.ID]; ok {
			file.Add(path+".id", "%d stands at bootstrap[%d] too", r.ID, first)
		}
		if first, ok := addresses[r.Address]; ok {
			file.Add(path+".address", "%s stands at bootstrap[%d] too", r.Address, first)
		}
		ids[r.ID], addresses[r.Address] = i, i
	}
	if i, ok := ids[s.ReplicaID]; ok && s.Bootstrap[i].Address != s.Address {
		file.Add("address", "is %s, but bootstrap names %s for replica %d",
			s.Address, s.Bootstrap[i].Address, s.ReplicaID)
	}
	if _, ok := ids[s.ReplicaID]; !ok && !s.Join && len(s.Bootstrap) > 0 {
		file.Add("replica_id", "%d is not in bootstrap; add it there or set join: true", s.ReplicaID)
	}
}

// registryPart is the part of the descriptors that connections of backend servers and operators
// take: the rest is for other replicas, entries and the disk.
const registryPart = 0.6

// MaxRegistryConnections bounds those connections; 0: no bound.
func (s *Control) MaxRegistryConnections() int { return int(registryPart * float64(s.MaxFiles)) }

// TargetVoters is how many voters the group is to have; 0: as operators say.
func (s *Control) TargetVoters() int {
	if s.ToleratedReplicaLosses == 0 {
		return 0
	}
	return 2*s.ToleratedReplicaLosses + 1
}

// formGroup makes the bootstrap list that BootstrapFromControl stands for.
func (s *Control) formGroup() {
	if !s.BootstrapFromControl {
		return
	}
	if !s.FirstStart || !slices.Contains(s.Control, s.Address) {
		s.Join = true
		return
	}
	for _, a := range s.Control {
		s.Bootstrap = append(s.Bootstrap, ControlReplica{ID: replicaIDOf(a), Address: a, Region: s.Region})
	}
	s.ReplicaID = replicaIDOf(s.Address)
}

// replicaIDOf gives the id that a first member has by its address.
func replicaIDOf(address string) uint64 { return max(1, xxhash.Sum64String(address)) }
