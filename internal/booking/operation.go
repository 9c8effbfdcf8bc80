package booking

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// verb is the kind of change that an operation makes to a record.
type verb string

const (
	verbReserve verb = "Reserve"
	verbFinish  verb = "Finish"
	verbRelease verb = "Release"
)

// operation is one change to one record, as a daemon sends it to the bucket's owner.
type operation struct {
	Verb        verb
	Bucket      int
	Name        string
	Token       string
	Fingerprint string
	Result      *Result
}

// outcome is the result of an operation.
type outcome string

const (
	// outcomeDone means that the platform has stored the change.
	outcomeDone outcome = "Done"
	// outcomeStored means that the key has a result.
	outcomeStored outcome = "Stored"
	// outcomeInUse means that another request holds the key and has not stored a result.
	outcomeInUse outcome = "InUse"
	// outcomeMismatch means that the key was reserved for different content.
	outcomeMismatch outcome = "Mismatch"
	// outcomeExpired means that the key's record has expired and only its hash is kept.
	outcomeExpired outcome = "Expired"
	// outcomeFull means that the bucket has no space for a new key.
	outcomeFull outcome = "Full"
	// outcomeGone means that no record contains the operation's token.
	outcomeGone outcome = "Gone"
	// outcomeNotWritten means that the platform did not accept the change.
	outcomeNotWritten outcome = "NotWritten"
	// outcomeUnknown means that the platform may have stored the change or may still store it.
	outcomeUnknown outcome = "Unsettled"
)

// reply is the response to an operation.
type reply struct {
	Outcome outcome
	Result  *Result
	// RoomAt is the time at which a full bucket may have space again.
	RoomAt time.Time
}

// isRejection reports whether the reply rejects the operation because of records that another daemon may have
// changed since this daemon read them.
func (rpl reply) isRejection() bool {
	switch rpl.Outcome {
	case outcomeInUse, outcomeMismatch, outcomeExpired, outcomeFull, outcomeGone:
		return true
	default:
		return false
	}
}

// apply applies one operation to the bucket and reports whether the bucket changed. It is idempotent, so an
// operation can be retried after its response was lost.
func (bkt *bucket) apply(opn operation, now time.Time, keepFor time.Duration) (reply, bool) {
	rec, ok := bkt.records[opn.Name]
	if opn.Verb == verbReserve {
		return bkt.reserve(opn, rec, ok, now, keepFor)
	}
	if !ok || rec.Token != opn.Token {
		return reply{Outcome: outcomeGone}, false
	}
	if rec.Result != nil {
		return reply{Outcome: outcomeDone}, false
	}
	if opn.Verb == verbRelease {
		bkt.remove(opn.Name)
		return reply{Outcome: outcomeDone}, true
	}
	rec.Result = opn.Result
	if bkt.size-recordSize+rec.size() > maxBucketSize {
		rec.Result = opn.Result.withoutBody()
	}
	bkt.set(opn.Name, rec)
	return reply{Outcome: outcomeDone}, true
}

func (bkt *bucket) reserve(opn operation, rec record, ok bool, now time.Time, keepFor time.Duration) (reply, bool) {
	switch {
	case ok && rec.Token == opn.Token:
		return reply{Outcome: outcomeDone}, false
	case ok && rec.Fingerprint != opn.Fingerprint:
		return reply{Outcome: outcomeMismatch}, false
	case ok && rec.Result != nil:
		return reply{
			Outcome: outcomeStored,
			Result:  rec.Result,
		}, false
	case ok:
		return reply{Outcome: outcomeInUse}, false
	case bkt.hasExpired(opn.Name):
		return reply{Outcome: outcomeExpired}, false
	case bkt.size+recordSize > maxBucketSize:
		return reply{
			Outcome: outcomeFull,
			RoomAt:  bkt.nextExpiry(keepFor),
		}, false
	}
	bkt.set(opn.Name, record{
		Token:       opn.Token,
		Fingerprint: opn.Fingerprint,
		Reserved:    now.UnixMilli(),
	})
	return reply{Outcome: outcomeDone}, true
}

// Result is the stored response of a call.
type Result struct {
	Status      int
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Omitted means that the body was too large to store. Size, in bytes, and Digest, the hexadecimal SHA-256
	// hash, then describe the body.
	Omitted bool   `json:",omitempty"`
	Size    int    `json:",omitempty"`
	Digest  string `json:",omitempty"`
}

func (res *Result) withoutBody() *Result {
	sum := sha256.Sum256(res.Body)
	return &Result{
		Status:  res.Status,
		Omitted: true,
		Size:    len(res.Body),
		Digest:  hex.EncodeToString(sum[:]),
	}
}
