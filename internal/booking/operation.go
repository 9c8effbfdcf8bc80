package booking

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// verb says what an operation does to a record.
type verb string

const (
	verbReserve verb = "Reserve"
	verbFinish  verb = "Finish"
	verbRelease verb = "Release"
)

// operation is one change of one record, as a daemon sends it to the bucket's owner.
type operation struct {
	Verb        verb
	Bucket      int
	Name        string
	Token       string
	Fingerprint string
	Result      *Result
}

// outcome is what became of an operation.
type outcome string

const (
	// outcomeDone says that the platform holds the change.
	outcomeDone outcome = "Done"
	// outcomeStored says that the key has a result.
	outcomeStored outcome = "Stored"
	outcomeInUse  outcome = "InUse"
	// outcomeMismatch says that the key was reserved for other content.
	outcomeMismatch outcome = "Mismatch"
	outcomeExpired  outcome = "Expired"
	outcomeFull     outcome = "Full"
	// outcomeGone says that no record carries the operation's token.
	outcomeGone outcome = "Gone"
	// outcomeNotWritten says that the platform did not take the change.
	outcomeNotWritten outcome = "NotWritten"
	// outcomeUnsettled says that the platform may hold the change, now or later.
	outcomeUnsettled outcome = "Unsettled"
)

// reply answers an operation.
type reply struct {
	Outcome outcome
	Result  *Result
	// RoomAt is the time when a full bucket may have room again.
	RoomAt time.Time
}

// rejects reports whether the reply depends on records that another daemon may have changed since they were read.
func (rpl reply) rejects() bool {
	switch rpl.Outcome {
	case outcomeInUse, outcomeMismatch, outcomeExpired, outcomeFull, outcomeGone:
		return true
	default:
		return false
	}
}

// apply changes the bucket by one operation; it reports whether the bucket differs from before. Applying
// an operation again changes nothing, so an operation may be repeated after a lost response.
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
			RoomAt:  bkt.roomAt(keepFor),
		}, false
	}
	bkt.set(opn.Name, record{
		Token:       opn.Token,
		Fingerprint: opn.Fingerprint,
		Reserved:    now.UnixMilli(),
	})
	return reply{Outcome: outcomeDone}, true
}

// Result is the stored response to a call.
type Result struct {
	Status      int
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Omitted says that the body was too large to store; Size and Digest, its hexadecimal SHA-256, then
	// describe it.
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
