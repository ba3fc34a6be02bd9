package testbed

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/standin/forwarder"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
)

// Names of binaries and directories, and the shared key of the processes.
const (
	binControl = "goldcrest-control"
	binEntry   = "goldcrest-entry"
	binEngine  = "goldcrest-engine"
	binCtl     = "goldcrestctl"
	journalDir = "journals"
	sharedKey  = "test-bed-shared-key-0123456789"
)

// stopTimeout bounds the graceful stop of an entry.
const stopTimeout = time.Minute

func (b *Bed) path(parts ...string) string {
	return filepath.Join(append([]string{b.options.Dir}, parts...)...)
}

// newProcess writes a settings file and returns the process that uses it.
func (b *Bed) newProcess(binary, name, dc, address string, content any) (*Process, error) {
	data, err := yaml.Marshal(content)
	if err != nil {
		return nil, Failed.Wrap(err, "settings of %s", name)
	}
	file := b.path(name + ".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, Failed.Wrap(err, "settings of %s", name)
	}
	p := NewProcess(name, filepath.Join(b.options.BinDir, binary), []string{"run", "--settings", file}, b.path(name+".log"), &b.wg)
	p.Address, p.DataCentre = address, dc
	return p, nil
}

func (b *Bed) commonSettings(name, dc string) settings.Common {
	return settings.Common{
		Cluster: b.options.Deployment, Name: name, Region: b.options.region(), DataCentre: dc,
		Control: b.controlAddresses, Auth: b.auth,
		Log: settings.Log{Level: b.options.LogLevel, SampleRouting: 1},
	}
}

func (b *Bed) prepareControl() error {
	var replicas []settings.ControlReplica
	for dc := range dataCentres {
		address := b.ports.address()
		b.controlAddresses = append(b.controlAddresses, address)
		replicas = append(replicas, settings.ControlReplica{
			ID: uint64(dc + 1), Address: address, Region: b.options.region(), DataCentre: b.options.dataCentre(dc),
		})
	}
	for dc, r := range replicas {
		reachable, err := b.replicasReachableFrom(r, replicas)
		if err != nil {
			return err
		}
		name := "control-" + strconv.Itoa(dc+1)
		dir := b.path("data", name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return Failed.Wrap(err, "data directory")
		}
		p, err := b.newProcess(binControl, name, r.DataCentre, r.Address, settings.Control{
			Common: b.commonSettings(name, r.DataCentre), ReplicaID: r.ID, Address: r.Address, DataDir: dir,
			Bootstrap: reachable, ElectionTimeout: settings.DefaultElectionTimeout,
			SnapshotEntries: settings.DefaultSnapshotEntries, OrderPause: b.options.MaxOrderPause,
		})
		if err != nil {
			return err
		}
		p.DataDir, p.MetricsAddress = dir, r.Address
		b.Control = append(b.Control, p)
	}
	return nil
}

// replicasReachableFrom returns the replicas with the addresses at which replica own
// reaches them. With Options.ForwardControl these are forwarders, which it starts.
func (b *Bed) replicasReachableFrom(own settings.ControlReplica, all []settings.ControlReplica) ([]settings.ControlReplica, error) {
	reachable := slices.Clone(all)
	for i, r := range all {
		if !b.options.ForwardControl || r.ID == own.ID {
			continue
		}
		f, err := forwarder.Listen("127.0.0.1:0", r.Address)
		if err != nil {
			return nil, err
		}
		b.Forwarders[controlForwarderName(own.ID, r.ID)] = f
		reachable[i].Address = f.Address()
	}
	return reachable, nil
}

func controlForwarderName(from, to uint64) string {
	return "control-" + strconv.FormatUint(from, 10) + ">control-" + strconv.FormatUint(to, 10)
}

func (b *Bed) prepareEntries() error {
	for dc := range dataCentres {
		for n := range b.options.EntriesPerDataCentre {
			name, address, peer := nodeName("entry", dc, n), b.ports.address(), b.ports.address()
			dataCentre := b.options.dataCentre(dc)
			common := b.commonSettings(name, dataCentre)
			common.MemoryMB = b.options.EntryMemoryMB
			p, err := b.newProcess(binEntry, name, dataCentre, address, settings.Entry{
				Common: common, CallerAddress: address, PeerAddress: peer, MaxFiles: b.options.EntryFiles,
				MaxBodyBytes: settings.DefaultMaxBodyBytes, MaxHeadBytes: settings.DefaultMaxHeadBytes, MaxStreams: settings.DefaultMaxStreams,
				EntryListTTL: b.options.EntryListTTL, StopTimeout: stopTimeout,
			})
			if err != nil {
				return err
			}
			p.MetricsAddress, p.MaxFiles = peer, uint64(b.options.EntryFiles)
			b.Entries = append(b.Entries, p)
		}
	}
	return nil
}

func (b *Bed) prepareServers(d *declaration.Declaration) error {
	for dc := range dataCentres {
		for n := range b.options.EnginesPerDataCentre {
			c := b.serverConfig(nodeName("engine", dc, n), dc)
			c.Kind, c.Model, c.Version = engineapi.KindModel, d.Models[0].Name, d.Models[0].Version
			c.Fencing = declaration.FencingIgnored
			if d.ChecksFencing(c.ID) {
				c.Fencing = declaration.FencingChecked
			}
			p, err := b.prepareServer(c)
			if err != nil {
				return err
			}
			b.Engines = append(b.Engines, p)
		}
		c := b.serverConfig(nodeName("plain", dc, 0), dc)
		c.Kind, c.Services = engineapi.KindPlain, plainServices(d)
		p, err := b.prepareServer(c)
		if err != nil {
			return err
		}
		b.PlainServers = append(b.PlainServers, p)
	}
	return nil
}

func (b *Bed) serverConfig(id string, dc int) server.Config {
	c := server.Default()
	c.Cluster, c.ID, c.Region, c.DataCentre = b.options.Deployment, id, b.options.region(), b.options.dataCentre(dc)
	c.Address, c.Journal = b.ports.address(), b.path(journalDir, id+".journal")
	// One entry of each data centre, starting with the server's own.
	for i := range dataCentres {
		c.Entries = append(c.Entries, b.Entries[(dc+i)%dataCentres*b.options.EntriesPerDataCentre].Address)
	}
	return c
}

func (b *Bed) prepareServer(c server.Config) (*Process, error) {
	if b.options.TuneServer != nil {
		b.options.TuneServer(&c)
	}
	if b.options.ForwardEngines && c.Kind == engineapi.KindModel {
		f, err := forwarder.Listen("127.0.0.1:0", c.Address)
		if err != nil {
			return nil, err
		}
		c.AnnouncedAddress = f.Address()
		b.Forwarders[c.ID] = f
	}
	return b.newProcess(binEngine, c.ID, c.DataCentre, c.Address, c)
}
