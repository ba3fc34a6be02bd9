package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// checksumBytes is the length of the xxhash64 before each record.
const checksumBytes = 8

// seal puts the checksum of bucket, key and payload before the payload. Bucket
// and key are in it so that a record which lands at another place is noticed.
func seal(bucket, key, payload []byte) []byte {
	out := make([]byte, checksumBytes, checksumBytes+len(payload))
	binary.BigEndian.PutUint64(out, checksum(bucket, key, payload))
	return append(out, payload...)
}

func checksum(bucket, key, payload []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{bucket, {0}, key, {0}, payload} {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// unseal gives the payload. Errors: Corrupt.
func unseal(bucket, key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, Corrupt.New("record %q of %s is cut short", key, bucket)
	}
	payload := record[checksumBytes:]
	if binary.BigEndian.Uint64(record) != checksum(bucket, key, payload) {
		return nil, Corrupt.New("record %q of %s has another checksum", key, bucket)
	}
	return payload, nil
}

func put(tx *bolt.Tx, bucket, key []byte, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return Failed.Wrap(err, "record %q of %s", key, bucket)
	}
	return tx.Bucket(bucket).Put(key, seal(bucket, key, payload))
}

// get reads a record into m; false if there is none. Errors: Corrupt.
func get(tx *bolt.Tx, bucket, key []byte, m proto.Message) (bool, error) {
	record := tx.Bucket(bucket).Get(key)
	if record == nil {
		return false, nil
	}
	return true, decode(bucket, key, record, m)
}

func decode(bucket, key, record []byte, m proto.Message) error {
	payload, err := unseal(bucket, key, record)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return Corrupt.Wrap(err, "record %q of %s", key, bucket)
	}
	return nil
}

// indexKey orders numbers as bbolt orders keys.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
