package host

import (
	"context"
	"sync"
	"time"
)

// outbox sends items to processes: to each one message at a time, with all items that have come meanwhile, in
// order. When servers crash or many streams begin at once, each item in a message of its own would cost its receiver
// a connection and a call.
type outbox[Receiver comparable, Item any] struct {
	// send sends one message, and deals with its failure.
	send func(to Receiver, batch []Item)
	// pause is the time between two messages to a process.
	pause func(to Receiver) time.Duration
	// dropped is called for an item for which there is no room.
	dropped func()
	spawn   func(func())
	// stopped ends with the process.
	stopped context.Context
	// capacity bounds the items that wait for one process.
	capacity int

	mu sync.Mutex
	// waiting has the items for each process to which messages are sent at present.
	waiting map[Receiver][]Item
}

// add sends an item to a process.
func (o *outbox[Receiver, Item]) add(to Receiver, item Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting == nil {
		o.waiting = make(map[Receiver][]Item)
	}
	items, sending := o.waiting[to]
	if len(items) >= o.capacity {
		o.dropped()
		return
	}
	o.waiting[to] = append(items, item)
	if !sending {
		o.spawn(func() { o.drain(to) })
	}
}

// drain sends a process all that waits for it.
func (o *outbox[Receiver, Item]) drain(to Receiver) {
	for {
		batch := o.take(to)
		if batch == nil {
			return
		}
		o.send(to, batch)
		Sleep(o.stopped, o.pause(to))
	}
}

// take returns what waits for a process; nil for nothing, which ends the sending.
func (o *outbox[Receiver, Item]) take(to Receiver) []Item {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.waiting[to]
	if len(batch) == 0 {
		delete(o.waiting, to)
		return nil
	}
	o.waiting[to] = nil
	return batch
}
