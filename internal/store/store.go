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
	databaseName = "control.db"
	// newDatabaseName is a file without an identity yet; a crash may leave it
	// behind.
	newDatabaseName = "control.db.new"
	fileMode        = 0o600
	folderMode      = 0o700
	// allocBytes is by how much the database file grows at a time.
	allocBytes = 1 << 20
	// lockTimeout is how long Open waits for a process that is about to exit.
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

// Options selects the folder to open and the replica it must belong to.
type Options struct {
	Dir     string
	Cluster string
	// ReplicaID is 0 for a replica that uses the id stored in its folder, or a
	// random one for a new folder.
	ReplicaID uint64
	// Bootstrap is the first member list of a new cluster, the same at each of
	// its replicas. It is used only when the folder is empty and Join is false.
	Bootstrap *pb.Membership
	// Join creates an empty folder for a replica that waits to be added as a
	// learner.
	Join bool
	// MaxLogBytes is the size of the log above which Open replaces its committed entries by a
	// snapshot before it reads the rest. It needs Replay, which returns the host's state as of a
	// snapshot, nil for none. 0: never.
	MaxLogBytes int
	Replay      func(snapshot []byte) (Replayer, error)
}

// Store is an open data folder. Its methods may be called from any goroutine.
type Store struct {
	db     *bolt.DB
	dir    string
	synced *synced

	// writing is held while log or snapshot are written, admitting while a peer's identity is. Neither
	// is needed to send and take heartbeats: a disk that is slow must not cost the leader its lead.
	writing, admitting sync.Mutex
	// bounds is guarded by writing.
	bounds *pb.LogBounds
	// mu guards the fields below and is never held during I/O.
	mu       sync.Mutex
	folder   *pb.FolderIdentity
	snapshot *pb.SnapshotMeta
	peers    map[uint64]*pb.ReplicaIdentity
	// leaderIncarnations holds the incarnation that was last seen as leader
	// under each id.
	leaderIncarnations map[uint64]string
}

// Open reads and checks a data folder, creates it if it is empty, and advances its
// boot. Errors: Corrupt, WrongOwner, Locked, Failed.
func Open(o Options) (*Store, *Recovered, error) {
	if err := prepareFolder(o); err != nil {
		return nil, nil, err
	}
	s, copyErr, err := openShortened(o)
	if err != nil {
		return nil, nil, err
	}
	r, err := s.initialize(o)
	if err != nil {
		_ = s.Close()
		return nil, nil, err
	}
	r.CopyError = copyErr
	return s, r, nil
}

// openShortened opens the file. Before that it cuts a log that is too large, and replaces a file that
// is mostly free by a copy; copyErr is why there was none.
func openShortened(o Options) (s *Store, copyErr, err error) {
	if s, err = openFile(o.Dir); err != nil {
		return nil, nil, err
	}
	if err = removeIncompleteSnapshots(o.Dir); err == nil {
		err = s.shortenLog(o)
	}
	if err == nil && !s.isOversized(o.MaxLogBytes) {
		return s, nil, nil
	}
	if closeErr := s.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, nil, err
	}
	if copyErr, err = shrinkFile(o.Dir); err != nil {
		return nil, nil, err
	}
	s, err = openFile(o.Dir)
	return s, copyErr, err
}

// Close releases the folder.
func (s *Store) Close() error {
	s.synced.close()
	if err := s.db.Close(); err != nil {
		return Failed.Wrap(err, "close")
	}
	return nil
}

// Identity returns this replica's identity in this boot, without the boot history.
func (s *Store) Identity() *pb.ReplicaIdentity {
	id := s.HelloIdentity()
	id.PastNonces = nil
	return id
}

// HelloIdentity returns the identity with the boot history, for requests that
// contain a HELLO or HELLO_RESPONSE, or are the first of a boot.
func (s *Store) HelloIdentity() *pb.ReplicaIdentity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clone(s.folder.Identity)
}

// prepareFolder makes sure that the folder contains a file with an identity.
//
// The file gets its final name only after its identity is synced. So a crash
// between creating the folder and writing the identity leaves a folder that counts
// as empty, and no replica can have sent messages from it.
func prepareFolder(o Options) error {
	if err := os.MkdirAll(o.Dir, folderMode); err != nil {
		return Failed.Wrap(err, "create data folder")
	}
	if err := os.RemoveAll(filepath.Join(o.Dir, copiedDatabaseName)); err != nil {
		return Failed.Wrap(err, "remove leftover copy")
	}
	_, err := os.Stat(filepath.Join(o.Dir, databaseName))
	if err == nil {
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return Failed.Wrap(err, "stat data folder")
	}
	leftovers, err := filepath.Glob(filepath.Join(o.Dir, snapshotPattern))
	if err == nil && len(leftovers) > 0 {
		return Corrupt.New("%s is missing, but %s exists", databaseName, filepath.Base(leftovers[0]))
	}
	return create(o)
}

func create(o Options) error {
	if o.ReplicaID == 0 {
		o.ReplicaID = max(1, rand.Uint64())
	}
	temp := filepath.Join(o.Dir, newDatabaseName)
	if err := os.RemoveAll(temp); err != nil {
		return Failed.Wrap(err, "remove leftover file")
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
	if err := os.Rename(temp, filepath.Join(o.Dir, databaseName)); err != nil {
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
	if err := putRecord(tx, bucketMeta, keyFolder, folder); err != nil {
		return err
	}
	if err := putRecord(tx, bucketMeta, keyBounds, &pb.LogBounds{}); err != nil {
		return err
	}
	return putRecord(tx, bucketMeta, keyHardState, &pb.HardState{})
}

func openBolt(path string) (*bolt.DB, error) {
	db, err := bolt.Open(path, fileMode, &bolt.Options{
		Timeout: lockTimeout, PageSize: pageSize, FreelistType: bolt.FreelistMapType,
	})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, Locked.Wrap(err, "%s", path)
	case refusedByDisk(err):
		return nil, Failed.Wrap(err, "open")
	case err != nil:
		return nil, Corrupt.Wrap(err, "open")
	}
	db.AllocSize = allocBytes
	return db, nil
}

// openFile opens the file and checks its structure. Damaged pages make bbolt panic
// or cause a memory fault; both count as Corrupt.
func openFile(dir string) (s *Store, err error) {
	path := filepath.Join(dir, databaseName)
	if err := checkPages(path); err != nil {
		return nil, err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, Corrupt.New("%s: %v", databaseName, p)
		}
	}()
	db, err := openBolt(path)
	if err != nil {
		return nil, err
	}
	s = &Store{db: db, dir: dir, peers: map[uint64]*pb.ReplicaIdentity{}, leaderIncarnations: map[uint64]string{}}
	if err := db.View(checkStructure); err != nil {
		_ = db.Close()
		return nil, Corrupt.Wrap(err, "%s", databaseName)
	}
	if s.synced, err = openSynced(dir); err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

// checkStructure reads every record, so that a memory fault occurs here and not in
// the goroutine of bbolt's check. Then bbolt checks that no page is used twice.
func checkStructure(tx *bolt.Tx) error {
	for _, name := range [][]byte{bucketMeta, bucketLog, bucketPeers} {
		b := tx.Bucket(name)
		if b == nil {
			return Corrupt.New("bucket %s is missing", name)
		}
		err := b.ForEach(func(k, v []byte) error {
			_, err := verifyChecksum(name, k, v)
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

// initialize reads the folder, checks its owner and advances the boot.
func (s *Store) initialize(o Options) (*Recovered, error) {
	r, err := s.readFolder()
	if err != nil {
		return nil, err
	}
	s.adoptConfiguredID(o, r)
	if err := s.checkOwner(o); err != nil {
		return nil, err
	}
	if err := s.removeStaleSnapshots(); err != nil {
		return nil, err
	}
	err = s.update(func(tx *bolt.Tx) error {
		s.folder, err = s.advanceBoot(tx)
		return err
	})
	r.Initial.Identity = s.folder.Identity
	return r, err
}

// checkOwner returns an error if the folder is another replica's. Errors: WrongOwner.
func (s *Store) checkOwner(o Options) error {
	id := s.folder.Identity
	if s.folder.ClusterId != o.Cluster || o.ReplicaID != 0 && id.GetId() != o.ReplicaID {
		return WrongOwner.New("the folder belongs to replica %d of cluster %q", id.GetId(), s.folder.ClusterId)
	}
	return nil
}

// adoptConfiguredID lets an operator change the id of a replica that waits to be
// added, since it has never acknowledged anything.
func (s *Store) adoptConfiguredID(o Options, r *Recovered) {
	init := r.Initial
	unused := init.HardState.GetTerm() == 0 && len(init.Entries) == 0 && s.snapshot == nil
	if o.ReplicaID == 0 || !unused || !r.Joined || !o.Join || s.folder.ClusterId != o.Cluster || s.folder.Identity.GetId() == o.ReplicaID {
		return
	}
	s.folder.Identity = &pb.ReplicaIdentity{Id: o.ReplicaID, Incarnation: uuid.NewString()}
}

// advanceBoot draws this boot's nonce and syncs it before the replica sends any
// message. A folder restored from an older copy starts with a boot that does not
// follow the one that peers know. They refuse it (consensus.CheckPeer), so the
// state it lost can't undo a commit. Snapshots count as boots too, so that
// restoring a copy made since the last start is detected once a snapshot has
// followed the copy.
func (s *Store) advanceBoot(tx *bolt.Tx) (*pb.FolderIdentity, error) {
	next := clone(s.folder)
	consensus.AdvanceBoot(next.Identity, rand.Uint64())
	return next, putRecord(tx, bucketMeta, keyFolder, next)
}

func (s *Store) update(fn func(*bolt.Tx) error) error {
	transaction := uint64(0)
	err := s.db.Update(func(tx *bolt.Tx) error {
		transaction = uint64(tx.ID())
		return fn(tx)
	})
	if err == nil {
		s.synced.note(transaction)
	}
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

func clone[T proto.Message](m T) T { return proto.Clone(m).(T) }
