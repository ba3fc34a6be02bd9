package store

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// syncedName is the file that tells which transaction was synced last.
	syncedName = "control.synced"
	// syncedDelay bounds how long after a transaction the file says so: one more sync at each would cost a commit
	// half as much again.
	syncedDelay = 100 * time.Millisecond
	// syncedSlots are written in turn, each in a sector of its own, so that a torn write leaves the one before.
	syncedSlots     = 2
	syncedSlotBytes = 512
	// A slot holds the number of the write, the transaction, and a checksum.
	syncedRecordBytes = 24
)

// synced records which transaction of the database file was synced last.
//
// A loss of power within a transaction may tear the write of its meta page. What the file then holds can't be told from
// a page that was damaged after its sync; without this record the folder would have to be given up for both. With it
// only damage to the newest page within syncedDelay of its sync, beside a loss of power, passes for a torn write.
type synced struct {
	file *os.File
	// wake holds an element if something is to be written, closing is closed when the folder is, done once nothing more is written.
	wake, closing, done chan struct{}
	closeOnce           sync.Once

	mu sync.Mutex
	// latest is the transaction synced last, writes the number of records written, written the transaction of the
	// last one.
	latest, writes, written uint64
}

// openSynced opens the record of a folder, creates it if there is none, and keeps it up to date until close.
// Errors: Failed.
func openSynced(dir string) (*synced, error) {
	path := filepath.Join(dir, syncedName)
	_, statErr := os.Stat(path)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, Failed.Wrap(err, "record of synced transactions")
	}
	if statErr != nil {
		if err := syncDir(dir); err != nil {
			_ = f.Close()
			return nil, err
		}
	}
	s := &synced{file: f, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	s.writes, s.written = readSynced(path)
	go s.run()
	return s, nil
}

// note records that a transaction was synced.
func (s *synced) note(transaction uint64) {
	s.mu.Lock()
	s.latest = transaction
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close writes the latest record and ends. It may be called again.
func (s *synced) close() {
	s.closeOnce.Do(func() {
		close(s.closing)
		<-s.done
		_ = s.file.Close()
	})
}

func (s *synced) run() {
	defer close(s.done)
	defer s.write()
	for {
		select {
		case <-s.wake:
		case <-s.closing:
			return
		}
		s.write()
		select {
		case <-time.After(syncedDelay):
		case <-s.closing:
			return
		}
	}
}

// write writes and syncs the latest transaction unless the file has it. A disk that refuses it leaves an older record,
// which rules out less.
func (s *synced) write() {
	s.mu.Lock()
	transaction, number, written := s.latest, s.writes+1, s.written
	s.mu.Unlock()
	if transaction == 0 || transaction == written {
		return
	}
	record := binary.BigEndian.AppendUint64(nil, number)
	record = binary.BigEndian.AppendUint64(record, transaction)
	record = binary.BigEndian.AppendUint64(record, xxhash.Sum64(record))
	_, err := s.file.WriteAt(record, int64(number%syncedSlots)*syncedSlotBytes)
	if err == nil {
		err = s.file.Sync()
	}
	if err == nil {
		s.mu.Lock()
		s.writes, s.written = number, transaction
		s.mu.Unlock()
	}
}

// readSynced returns the number of the last whole record of a folder's file and its transaction; zero if there is none.
func readSynced(path string) (number, transaction uint64) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, 0
	}
	for at := 0; at+syncedRecordBytes <= len(data); at += syncedSlotBytes {
		record := data[at : at+syncedRecordBytes]
		n := binary.BigEndian.Uint64(record)
		if binary.BigEndian.Uint64(record[16:]) == xxhash.Sum64(record[:16]) && n > number {
			number, transaction = n, binary.BigEndian.Uint64(record[8:])
		}
	}
	return number, transaction
}
