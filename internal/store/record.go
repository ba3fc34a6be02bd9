package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// checksumBytes is the length of the xxhash64 before each record.
const checksumBytes = 8

// addChecksum prepends the checksum of bucket, key and payload to the payload.
// Bucket and key are included to detect a record that is stored in the wrong place.
func addChecksum(bucket, key, payload []byte) []byte {
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

// verifyChecksum returns the payload of a record. Errors: Corrupt.
func verifyChecksum(bucket, key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, Corrupt.New("record %q of bucket %s is truncated", key, bucket)
	}
	payload := record[checksumBytes:]
	if binary.BigEndian.Uint64(record) != checksum(bucket, key, payload) {
		return nil, Corrupt.New("checksum mismatch in record %q of bucket %s", key, bucket)
	}
	return payload, nil
}

func putRecord(tx *bolt.Tx, bucket, key []byte, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return Failed.Wrap(err, "record %q of %s", key, bucket)
	}
	return tx.Bucket(bucket).Put(key, addChecksum(bucket, key, payload))
}

// getRecord decodes a record into m; false if there is none. Errors: Corrupt.
func getRecord(tx *bolt.Tx, bucket, key []byte, m proto.Message) (bool, error) {
	record := tx.Bucket(bucket).Get(key)
	if record == nil {
		return false, nil
	}
	return true, decodeRecord(bucket, key, record, m)
}

func decodeRecord(bucket, key, record []byte, m proto.Message) error {
	payload, err := verifyChecksum(bucket, key, record)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return Corrupt.Wrap(err, "record %q of %s", key, bucket)
	}
	return nil
}

// indexKey encodes an index so that bbolt's key order is the numeric order.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
