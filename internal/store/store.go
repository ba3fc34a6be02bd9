package store

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	fileName = "control.db"
	// newFileName is a file without an identity yet; a crash may leave it.
	newFileName = "control.db.new"
	fileMode    = 0o600
	folderMode  = 0o700
	// lockTimeout is how long Open waits for a process that is just ending.
	lockTimeout = 2 * time.Second
)

var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	bucketPeers = []byte("peers")

	keyFolder    = []byte("folder")
	keyHardState = []byte("hard_state")
	keySnapshot  = []byte("snapshot")
	keyBounds    = []byte("log_bounds")
)

// Options says which folder is opened and for whom.
type Options struct {
	Dir     string
	Cluster string
	// ReplicaID is 0 for a replica that keeps the id of its folder and draws one
	// for a new folder.
	ReplicaID uint64
	// Bootstrap is the first member list of a new cluster, the same at each of
	// its replicas. It counts only while the folder is empty and Join is false.
	Bootstrap *pb.Membership
	// Join starts an empty folder as one that waits to be added as a learner.
	Join bool
}

// Store is one open data folder. Its methods may be called from any goroutine.
type Store struct {
	db       *bolt.DB
	dir      string
	folder   *pb.FolderIdentity
	mu       sync.Mutex
	snapshot *pb.SnapshotMeta
	bounds   *pb.LogBounds
	peers    map[uint64]*pb.ReplicaIdentity
	// leads holds the incarnation under which an id was last heard to lead.
	leads map[uint64]string
}

// Open reads and checks a data folder, creates it if it is empty, and counts the
// boot. Errors: Corrupt, WrongOwner, Locked, Failed.
func Open(o Options) (*Store, *Recovered, error) {
	if err := prepare(o); err != nil {
		return nil, nil, err
	}
	s, err := openFile(o.Dir)
	if err != nil {
		return nil, nil, err
	}
	r, err := s.start(o)
	if err != nil {
		_ = s.db.Close()
		return nil, nil, err
	}
	return s, r, nil
}

// Close releases the folder.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return Failed.Wrap(err, "close")
	}
	return nil
}

// Identity is this replica's, with this boot, without the history of boots.
func (s *Store) Identity() *pb.ReplicaIdentity {
	id := s.HelloIdentity()
	id.PastNonces = nil
	return id
}

// HelloIdentity is Identity with the history of boots, for requests that hold a
// HELLO or HELLO_RESPONSE.
func (s *Store) HelloIdentity() *pb.ReplicaIdentity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cloneOf(s.folder.Identity)
}

// prepare makes sure that the folder holds a file with an identity.
//
// The file gets its name only once its identity is synced. So a crash between
// creating the folder and writing the identity leaves a folder that counts as
// empty, and no replica can have spoken from it.
func prepare(o Options) error {
	if err := os.MkdirAll(o.Dir, folderMode); err != nil {
		return Failed.Wrap(err, "data folder")
	}
	_, err := os.Stat(filepath.Join(o.Dir, fileName))
	if err == nil {
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return Failed.Wrap(err, "data folder")
	}
	left, err := filepath.Glob(filepath.Join(o.Dir, snapshotPattern))
	if err == nil && len(left) > 0 {
		return Corrupt.New("%s is missing, but %s is there", fileName, filepath.Base(left[0]))
	}
	return create(o)
}

func create(o Options) error {
	if o.ReplicaID == 0 {
		o.ReplicaID = max(1, rand.Uint64())
	}
	temp := filepath.Join(o.Dir, newFileName)
	if err := os.RemoveAll(temp); err != nil {
		return Failed.Wrap(err, "left-over file")
	}
	db, err := openBolt(temp)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error { return writeIdentity(tx, o) })
	if closeErr := db.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return Failed.Wrap(err, "identity")
	}
	if err := os.Rename(temp, filepath.Join(o.Dir, fileName)); err != nil {
		return Failed.Wrap(err, "identity")
	}
	if err := syncDir(o.Dir); err != nil {
		return err
	}
	return syncDir(filepath.Dir(filepath.Clean(o.Dir)))
}

func writeIdentity(tx *bolt.Tx, o Options) error {
	for _, name := range [][]byte{bucketMeta, bucketLog, bucketPeers} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	folder := &pb.FolderIdentity{
		ClusterId: o.Cluster,
		Identity:  &pb.ReplicaIdentity{Id: o.ReplicaID, Incarnation: uuid.NewString()},
		Joined:    o.Join,
	}
	if !o.Join {
		folder.Bootstrap = o.Bootstrap
	}
	if err := put(tx, bucketMeta, keyFolder, folder); err != nil {
		return err
	}
	if err := put(tx, bucketMeta, keyBounds, &pb.LogBounds{}); err != nil {
		return err
	}
	return put(tx, bucketMeta, keyHardState, &pb.HardState{})
}

func openBolt(path string) (*bolt.DB, error) {
	db, err := bolt.Open(path, fileMode, &bolt.Options{
		Timeout: lockTimeout, PageSize: pageSize, FreelistType: bolt.FreelistMapType,
	})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, Locked.Wrap(err, "%s", path)
	case errors.Is(err, os.ErrPermission):
		return nil, Failed.Wrap(err, "open")
	case err != nil:
		return nil, Corrupt.Wrap(err, "open")
	}
	return db, nil
}

// openFile opens and checks the file's structure. Damaged pages make bbolt panic
// or fault; both count as Corrupt.
func openFile(dir string) (s *Store, err error) {
	path := filepath.Join(dir, fileName)
	if err := checkPages(path); err != nil {
		return nil, err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, Corrupt.New("%s: %v", fileName, p)
		}
	}()
	db, err := openBolt(path)
	if err != nil {
		return nil, err
	}
	s = &Store{db: db, dir: dir, peers: map[uint64]*pb.ReplicaIdentity{}, leads: map[uint64]string{}}
	if err := db.View(checkStructure); err != nil {
		_ = db.Close()
		return nil, Corrupt.Wrap(err, "%s", fileName)
	}
	return s, nil
}

// checkStructure reads every record, so that a fault comes here and not in the
// check's own goroutine, and then lets bbolt check that no page is used twice.
func checkStructure(tx *bolt.Tx) error {
	for _, name := range [][]byte{bucketMeta, bucketLog, bucketPeers} {
		b := tx.Bucket(name)
		if b == nil {
			return Corrupt.New("bucket %s is missing", name)
		}
		err := b.ForEach(func(k, v []byte) error {
			_, err := unseal(name, k, v)
			return err
		})
		if err != nil {
			return err
		}
	}
	var first error
	for err := range tx.Check() {
		if first == nil {
			first = err
		}
	}
	return first
}

// start checks whose folder it is, reads it and counts the boot.
func (s *Store) start(o Options) (*Recovered, error) {
	r, err := s.recover()
	if err != nil {
		return nil, err
	}
	s.takeNewID(o, r)
	id := s.folder.Identity
	if s.folder.ClusterId != o.Cluster || o.ReplicaID != 0 && id.GetId() != o.ReplicaID {
		return nil, WrongOwner.New("the folder belongs to replica %d of cluster %q", id.GetId(), s.folder.ClusterId)
	}
	if err := s.removeStrays(); err != nil {
		return nil, err
	}
	err = s.update(func(tx *bolt.Tx) error {
		s.folder, err = s.countBoot(tx)
		return err
	})
	r.Initial.Identity = s.folder.Identity
	return r, err
}

// takeNewID lets an operator change the id of a replica that waits to be added:
// nothing was ever acknowledged from its folder.
func (s *Store) takeNewID(o Options, r *Recovered) {
	init := r.Initial
	unused := init.HardState.GetTerm() == 0 && len(init.Entries) == 0 && s.snapshot == nil
	if o.ReplicaID == 0 || !unused || !r.Joined || !o.Join || s.folder.ClusterId != o.Cluster || s.folder.Identity.GetId() == o.ReplicaID {
		return
	}
	s.folder.Identity = &pb.ReplicaIdentity{Id: o.ReplicaID, Incarnation: uuid.NewString()}
}

// countBoot draws this boot's nonce and syncs it before the replica says
// anything. A folder put back from an older copy comes up with a boot that does
// not follow the one that peers know: they refuse it (consensus.CheckPeer), so
// what it has forgotten can't undo a commit. Snapshots count as boots too, so
// that a copy taken since the last start is noticed once a snapshot follows.
func (s *Store) countBoot(tx *bolt.Tx) (*pb.FolderIdentity, error) {
	next := cloneOf(s.folder)
	consensus.AdvanceBoot(next.Identity, rand.Uint64())
	return next, put(tx, bucketMeta, keyFolder, next)
}

func (s *Store) update(fn func(*bolt.Tx) error) error {
	err := s.db.Update(fn)
	if err == nil || errorx.IsOfType(err, Corrupt) {
		return err
	}
	return Failed.Wrap(err, "sync")
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return Failed.Wrap(err, "folder")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return Failed.Wrap(err, "sync folder")
	}
	return nil
}

func cloneOf[T proto.Message](m T) T { return proto.Clone(m).(T) }
