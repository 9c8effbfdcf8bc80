package booking

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// maxBucketSize bounds the encoded size of a bucket in bytes, with a margin below the platform's limit of 1 MB.
	maxBucketSize = 900_000
	// recordSize is the maximum size in bytes of a record in JSON, including a result without its body.
	recordSize = 320
	// storedSize is the maximum size in bytes of a record with a stored body in JSON, without the body and the content
	// type.
	storedSize = 230
	// hashSize is the maximum size in bytes of an expired key in JSON: 8 bytes in base64.
	hashSize = 11
	// maxContentType is the maximum length in bytes of a content type that is stored with a body.
	maxContentType = 100
)

// record is the stored state of one reserved key.
type record struct {
	// Token identifies the request that reserved the key.
	Token       string
	Fingerprint string
	// Reserved is the time of the reservation in milliseconds since the Unix epoch (1970).
	Reserved int64
	Result   *Result `json:",omitempty"`
}

// expires returns the time, in milliseconds since the Unix epoch (1970), after which only the key's hash is kept.
func (rec record) expires(keepFor time.Duration) int64 {
	return rec.Reserved + keepFor.Milliseconds()
}

// size returns an upper bound of the record's size in JSON, in bytes.
func (rec record) size() int {
	if rec.Result == nil || rec.Result.Omitted {
		return recordSize
	}
	// JSON escapes some characters of a content type with six bytes each.
	return storedSize + 6*len(rec.Result.ContentType) + base64.StdEncoding.EncodedLen(len(rec.Result.Body))
}

// bucket is the content of one Bucket object. It is immutable once it has been read or written; clone returns a
// mutable copy.
type bucket struct {
	records map[string]record
	// expired holds the sorted hashes of the keys whose records have expired.
	expired []uint64
	// size is an upper bound of the encoded size in bytes.
	size int
}

// storedBucket is the JSON form of a bucket.
type storedBucket struct {
	Records map[string]record
	// Expired holds the sorted hashes of the expired keys, 8 big-endian bytes each.
	Expired []byte
}

func newBucket() *bucket {
	return &bucket{
		records: map[string]record{},
		size:    hashSize * 4,
	}
}

func decodeBucket(data []byte) (*bucket, error) {
	var stb storedBucket
	if err := json.Unmarshal(data, &stb); err != nil {
		return nil, errors.Trace(err)
	}
	if len(stb.Expired)%8 != 0 {
		return nil, errors.Errorf("the length of the expired hashes, %d bytes, is not a multiple of 8", len(stb.Expired))
	}
	bkt := newBucket()
	for name, rec := range stb.Records {
		bkt.records[name] = rec
		bkt.size += rec.size()
	}
	for off := 0; off < len(stb.Expired); off += 8 {
		bkt.expired = append(bkt.expired, binary.BigEndian.Uint64(stb.Expired[off:]))
	}
	slices.Sort(bkt.expired)
	bkt.size += hashSize * len(bkt.expired)
	return bkt, nil
}

func (bkt *bucket) encode() ([]byte, error) {
	stb := storedBucket{
		Records: bkt.records,
		Expired: make([]byte, 0, 8*len(bkt.expired)),
	}
	for _, hsh := range bkt.expired {
		stb.Expired = binary.BigEndian.AppendUint64(stb.Expired, hsh)
	}
	data, err := json.Marshal(stb)
	return data, errors.Trace(err)
}

// clone returns a mutable copy.
func (bkt *bucket) clone() *bucket {
	return &bucket{
		records: maps.Clone(bkt.records),
		expired: bkt.expired,
		size:    bkt.size,
	}
}

// expire replaces records that are older than keepFor with the hashes of their keys.
func (bkt *bucket) expire(now time.Time, keepFor time.Duration) {
	hashes := bkt.expired
	for name, rec := range bkt.records {
		if rec.expires(keepFor) > now.UnixMilli() {
			continue
		}
		hashes = append(slices.Clip(hashes), keyHash(name))
		bkt.remove(name)
		bkt.size += hashSize
	}
	if len(hashes) > len(bkt.expired) {
		slices.Sort(hashes)
		bkt.expired = hashes
	}
}

func (bkt *bucket) set(name string, rec record) {
	bkt.remove(name)
	bkt.records[name] = rec
	bkt.size += rec.size()
}

func (bkt *bucket) remove(name string) {
	if rec, ok := bkt.records[name]; ok {
		bkt.size -= rec.size()
		delete(bkt.records, name)
	}
}

func (bkt *bucket) hasExpired(name string) bool {
	_, ok := slices.BinarySearch(bkt.expired, keyHash(name))
	return ok
}

// nextExpiry returns the time at which the oldest record expires, or the zero time if there is no record.
func (bkt *bucket) nextExpiry(keepFor time.Duration) time.Time {
	var first int64
	for _, rec := range bkt.records {
		if exp := rec.expires(keepFor); first == 0 || exp < first {
			first = exp
		}
	}
	if first == 0 {
		return time.Time{}
	}
	return time.UnixMilli(first)
}

// keyHash returns the first 8 bytes of a record's name, which is itself a hash.
func keyHash(name string) uint64 {
	raw, err := base64.RawURLEncoding.DecodeString(name)
	if err != nil || len(raw) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}
