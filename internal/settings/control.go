package settings

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// ControlReplica is one replica of a new control group, as listed in Control.Bootstrap.
type ControlReplica struct {
	// ID is the replica id, at least 1.
	ID uint64 `yaml:"id"`
	// Address is the address of its services, host:port.
	Address    string `yaml:"address"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
}

// Control holds the settings of goldcrest-control.
type Control struct {
	Common `yaml:"common"`
	// ReplicaID is this replica's id, at least 1. A new VM needs a new id.
	ReplicaID uint64 `yaml:"replica_id"`
	// Address is the address at which other processes reach its services, host:port.
	Address string `yaml:"address"`
	// ListenAddress is the address to listen on, host:port, if it differs from Address because of
	// address translation or a forwarder in front of the VM. Default: Address.
	ListenAddress string `yaml:"listen_address"`
	// DataDir is the data directory on the VM's disk.
	DataDir string `yaml:"data_dir"`
	// DiskMB is how much of the VM's disk the data directory may use. Default 0: unknown.
	DiskMB int `yaml:"disk_mb"`
	// Bootstrap lists the replicas of a new group. It is used only if the data directory is empty
	// and Join is false.
	Bootstrap []ControlReplica `yaml:"bootstrap"`
	// Join makes a replica with an empty data directory wait until it is added with goldcrestctl
	// replica add. Default false.
	Join bool `yaml:"join"`
	// BootstrapFromControl replaces ReplicaID and Bootstrap. With FirstStart, a replica whose
	// Address is in Common.Control is an initial member, with an id derived from that address. Any
	// other replica, and one whose data directory is lost, generates a random id and waits to be
	// added. A majority of the initial members then starts the group; with Bootstrap all must have
	// met. Default false.
	BootstrapFromControl bool `yaml:"group_from_control"`
	// ToleratedReplicaLosses is how many replicas may be lost at once. If it is set, the group
	// repairs itself: it keeps twice as many voters plus one, and replaces lost replicas by ones
	// that wait to be added. Default 0: operators change the group.
	ToleratedReplicaLosses int `yaml:"bear_losses"`
	// FirstStart is true only during the first start of the whole deployment, never for a replica
	// that has lost its data directory.
	FirstStart bool `yaml:"first_start"`
	// RegistryAddress is the listen address, host:port, for announcements of backend servers and
	// for calls of the operators of a deployment with host routes; empty for none.
	RegistryAddress string `yaml:"registry_address"`
	// BodyMemoryMB is how much memory the bodies of calls at RegistryAddress may take together, in MB of 2^20 bytes.
	// Default 0: an eighth of MemoryMB, or 256 if that is unknown. A single body is always taken.
	BodyMemoryMB int `yaml:"body_memory_mb"`
	// MaxFiles is the limit of file descriptors, from which the limits on connections are computed. Default 0: that which the
	// process was started with; a lower one of the two holds in any case.
	MaxFiles int `yaml:"max_files"`
	// Roles configures role changes for documents received at RegistryAddress, which can't.
	Roles declaration.Roles `yaml:"roles"`
	// EnginesIgnoreFencing is set if the engines of documents received at RegistryAddress carry out orders
	// with outdated fencing tokens; the next order then waits for OrderPause where an earlier one may
	// still arrive. Default false.
	EnginesIgnoreFencing bool `yaml:"engines_ignore_fencing"`
	// InForceWithin is the time within which a confirmed declaration should be in force at all entries
	// in touch. The leader warns when little of it was left. Default 0: not checked.
	InForceWithin time.Duration `yaml:"in_force_within"`
	// Duties configures the calls to external services that one replica at a time makes.
	Duties Duties `yaml:"duties"`
	// ElectionTimeout is the base of the randomized election timeout: a follower without contact to
	// a leader for one to two times as long starts an election. Default 400ms.
	ElectionTimeout time.Duration `yaml:"election_timeout"`
	// SnapshotEntries is the number of log entries that are applied between snapshots.
	// Default 2000.
	SnapshotEntries int `yaml:"snapshot_entries"`
	// OrderPause is the longest pause of a control process that is assumed for engines that ignore
	// fencing tokens: an order from an earlier leader may still arrive for that long. Default 10s.
	OrderPause time.Duration `yaml:"order_pause"`
}

// Duties configures the calls to external services that one replica at a time makes for the
// deployment.
type Duties struct {
	// Address is the address of the external service, host:port; empty for no calls.
	Address string `yaml:"address"`
	// Lease is how long a new leader waits before its first call, so that the last call of the
	// previous leader can no longer take effect. Default 3s.
	Lease time.Duration `yaml:"lease"`
	// OrderServers enables ordering new servers from the external service, for the services that
	// declare autoscaling.
	OrderServers bool `yaml:"order_servers"`
	// UsageWindow is the length of the windows for which members' usage is reported, the same as
	// Usage.Window of the entries; zero: usage is not reported.
	UsageWindow time.Duration `yaml:"usage_window"`
	// UsageReportDelay is the time from the end of a window until its report is due. Default 10s.
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

// LoadControl reads and checks a settings file of goldcrest-control. The settings are nil if the
// file cannot be read, and must not be used if there are findings.
func LoadControl(path string) (*Control, finding.List) {
	s := &Control{
		Common:          Common{Log: Log{Level: "info", SampleRouting: 1}},
		ElectionTimeout: DefaultElectionTimeout, SnapshotEntries: DefaultSnapshotEntries,
		OrderPause: DefaultOrderPause,
		Duties:     Duties{Lease: DefaultDutyLease, UsageReportDelay: DefaultUsageReportDelay},
	}
	file := decodeFile(path, s)
	if file == nil {
		return nil, unreadableFile(path)
	}
	s.check(file)
	s.applyControlPort()
	s.deriveBootstrap()
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
	if s.DiskMB < 0 {
		file.Add("disk_mb", "is less than 0")
	}
	if s.BodyMemoryMB < 0 {
		file.Add("body_memory_mb", "is less than 0")
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
		file.Add("data_dir", "is missing; set a directory on the VM's disk")
	}
	s.checkBootstrap(file)
	s.Duties.check(file)
	checkDuration(file, "election_timeout", s.ElectionTimeout, 50*time.Millisecond, time.Minute)
	checkPositive(file, "snapshot_entries", s.SnapshotEntries)
	checkDuration(file, "order_pause", s.OrderPause, time.Second, time.Hour)
	checkDuration(file, "in_force_within", s.InForceWithin, 0, time.Hour)
}

func (s *Control) checkBootstrap(file *yamlfile.File) {
	if s.BootstrapFromControl {
		if len(s.Bootstrap) > 0 || s.ReplicaID != 0 || s.Join {
			file.Add("group_from_control", "replaces bootstrap, replica_id and join; leave them out")
		}
		return
	}
	if len(s.Bootstrap) == 0 && !s.Join {
		file.Add("bootstrap", "is empty: no quorum; list the replicas or set join: true")
	}
	indexByID := make(map[uint64]int)
	indexByAddress := make(map[string]int)
	for i, r := range s.Bootstrap {
		path := elementPath("bootstrap", i)
		if r.ID == 0 {
			file.Add(path+".id", "must be at least 1")
		}
		checkAddress(file, path+".address", r.Address)
		if firstIndex, ok := indexByID[r.ID]; ok {
			file.Add(path+".id", "%d is also the id of bootstrap[%d]", r.ID, firstIndex)
		}
		if firstIndex, ok := indexByAddress[r.Address]; ok {
			file.Add(path+".address", "%s is also the address of bootstrap[%d]", r.Address, firstIndex)
		}
		indexByID[r.ID], indexByAddress[r.Address] = i, i
	}
	if i, ok := indexByID[s.ReplicaID]; ok && s.Bootstrap[i].Address != s.Address {
		file.Add("address", "is %s, but bootstrap names %s for replica %d",
			s.Address, s.Bootstrap[i].Address, s.ReplicaID)
	}
	if _, ok := indexByID[s.ReplicaID]; !ok && !s.Join && len(s.Bootstrap) > 0 {
		file.Add("replica_id", "%d is not in bootstrap; add it there or set join: true", s.ReplicaID)
	}
}

// registryConnectionShare and callConnectionShare are the shares of the file descriptors that connections of backend
// servers and operators, and those of entries and other replicas may use. The rest is for the replica's own connections and
// the disk.
const (
	registryConnectionShare = 0.6
	callConnectionShare     = 0.3
)

// MaxCallConnections returns the limit on connections of entries and other replicas; 0: no limit.
func (s *Control) MaxCallConnections() int { return fileShare(s.MaxFiles, callConnectionShare) }

// MaxRegistryConnections returns the limit on connections at RegistryAddress; 0: no limit.
func (s *Control) MaxRegistryConnections() int {
	return fileShare(s.MaxFiles, registryConnectionShare)
}

// BodyMemory returns how many bytes the bodies of calls may take together.
func (s *Control) BodyMemory() int {
	if s.BodyMemoryMB > 0 {
		return s.BodyMemoryMB << 20
	}
	return bodyMemory(s.MemoryMB, controlBodyShare)
}

// TargetVoters returns the number of voters that the group maintains; 0: operators decide.
func (s *Control) TargetVoters() int {
	if s.ToleratedReplicaLosses == 0 {
		return 0
	}
	return 2*s.ToleratedReplicaLosses + 1
}

// deriveBootstrap sets Join, or Bootstrap and ReplicaID, as BootstrapFromControl describes.
func (s *Control) deriveBootstrap() {
	if !s.BootstrapFromControl {
		return
	}
	if !s.FirstStart || !slices.Contains(s.Control, s.Address) {
		s.Join = true
		return
	}
	for _, a := range s.Control {
		s.Bootstrap = append(s.Bootstrap, ControlReplica{ID: replicaIDFromAddress(a), Address: a, Region: s.Region})
	}
	s.ReplicaID = replicaIDFromAddress(s.Address)
}

// replicaIDFromAddress returns the id of the initial member with that address.
func replicaIDFromAddress(address string) uint64 { return max(1, xxhash.Sum64String(address)) }
