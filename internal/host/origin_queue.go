package host

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// controlHolders is how many of control's replicas are told where a stream began.
	controlHolders = 2
	// controlOriginPause is the time between two messages to a replica. Hundreds of entries would
	// otherwise cost it more processor time than all else.
	controlOriginPause = 50 * time.Millisecond
	// originTimeout bounds one call that tells origins.
	originTimeout = 500 * time.Millisecond
	// maxUntoldOrigins bounds what waits for one process that is slow to answer.
	maxUntoldOrigins = 1024
	// replaceTimeout bounds how long a first event waits until none of control's replicas expects its stream at other
	// software, settleTimeout how long it waits for as many as are needed. What is not settled by then ends the attempt.
	replaceTimeout = 250 * time.Millisecond
	settleTimeout  = time.Second
)

// originHolder is a process that is told where streams began.
type originHolder struct {
	address string
	// control is set for one of control's replicas, else it is an entry.
	control bool
}

// untoldOrigin is an origin with the addresses of those that may hold it instead, best first.
type untoldOrigin struct {
	origin *pb.StreamOrigin
	others []string
	// told, if set, is called once the process has taken it.
	told func()
}

// tellControl tells two of control's replicas where a stream began.
func (o *Origins) tellControl(told *pb.StreamOrigin) {
	replicas := o.controlReplicas()
	holders := min(controlHolders, len(replicas))
	for n, address := range replicas[:holders] {
		o.tell(originHolder{address: address, control: true}, untoldOrigin{origin: told, others: everyNth(replicas[holders:], n, holders)})
	}
}

// replaceAtControl tells all of control's replicas where a stream began that they expect at other software, waits until
// they have taken that, and reports whether enough have: nobody believes what is expected without the answers of all but one.
func (o *Origins) replaceAtControl(began *pb.StreamOrigin) bool {
	replicas := o.controlReplicas()
	taken := make(chan struct{}, len(replicas))
	for _, address := range replicas {
		o.tell(originHolder{address: address, control: true}, untoldOrigin{origin: began, told: func() { taken <- struct{}{} }})
	}
	enough := min(controlHolders, len(replicas))
	n := countUntil(taken, 0, len(replicas), replaceTimeout)
	if n == len(replicas) {
		return true
	}
	n = countUntil(taken, n, enough, settleTimeout-replaceTimeout)
	o.host.Log.Info("expected origin of a stream not replaced at each replica", "request_id", began.GetRequestId(),
		"version", began.GetSoftwareVersion(), "replicas", len(replicas), "replaced", n, "enough", n >= enough)
	return n >= enough
}

// countUntil counts what arrives on top of n until there are enough, or time is up.
func countUntil(arrivals <-chan struct{}, n, enough int, limit time.Duration) int {
	timeout := time.After(limit)
	for n < enough {
		select {
		case <-arrivals:
			n++
		case <-timeout:
			return n
		}
	}
	return n
}

// tell passes an origin to a process, together with the others that come while a call is under way.
func (o *Origins) tell(to originHolder, u untoldOrigin) { o.outbox.add(to, u) }

// sendBatch tells a process origins. What it does not take goes to the next best one.
func (o *Origins) sendBatch(to originHolder, batch []untoldOrigin) {
	if err := o.send(to, batch); err != nil {
		o.passToOthers(to, batch, err)
		return
	}
	confirmTold(batch)
}

// pause returns the time between two messages to a process.
func (h originHolder) pause() time.Duration {
	if h.control {
		return controlOriginPause
	}
	return 0
}

func confirmTold(batch []untoldOrigin) {
	for _, u := range batch {
		if u.told != nil {
			u.told()
		}
	}
}

func (o *Origins) passToOthers(to originHolder, batch []untoldOrigin, err error) {
	o.host.Log.Info("origins of streams not stored", "address", to.address, "control", to.control,
		"streams", len(batch), "error", err.Error())
	for _, u := range batch {
		if len(u.others) > 0 {
			o.tell(originHolder{address: u.others[0], control: to.control}, untoldOrigin{origin: u.origin, others: u.others[1:]})
		}
	}
}

func (o *Origins) send(to originHolder, batch []untoldOrigin) error {
	ctx, cancel := context.WithTimeout(o.host.TaskContext, originTimeout)
	defer cancel()
	req := &pb.RememberOriginsRequest{ClusterId: o.host.Settings.Cluster}
	for _, u := range batch {
		req.Origins = append(req.Origins, u.origin)
	}
	var err error
	if to.control {
		_, err = o.controlClient(to.address).RememberOrigins(ctx, req)
	} else {
		_, err = o.host.peers.clientFor(to.address).RememberOrigins(ctx, req)
	}
	o.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("origins_told").Inc(int64(len(batch)))
	return err
}

// controlClient returns a client for the replica at an address.
func (o *Origins) controlClient(address string) pb.Origins {
	return pb.NewOriginsProtobufClient(o.host.Auth.URL(address), o.host.peers.http)
}
