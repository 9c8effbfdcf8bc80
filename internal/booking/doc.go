// Package booking records the calls that run at most once under an idempotency key.
//
// Many keys share one object Bucket/<n> of the platform. A daemon reserves a key by a conditional update
// of the key's bucket before it sends the call and writes the result into the record afterwards. Each
// record carries a random token of the request that reserved it. The owner of a bucket in the zone
// batches the operations of its peers into one write. Ownership only saves writes: any daemon may write
// any bucket, and the conditional update alone decides which request holds a key.
//
// The package owns the objects of kind Bucket. It maintains the invariant that at most one request ever
// holds a key: it removes a record only at the wish of the request whose token the record carries, and
// turns records that are too old into hashes that still reject the key. It never sends a call itself.
//
// Bounds. A bucket's value stays below maxBucketSize. A full bucket rejects new keys as not run until old
// results expire; it never drops a record or a hash. A response that is too large for MaxResultSize or
// for the room left in its bucket is stored as status, size and digest only. The number of buckets is
// fixed by the object Bucket/layout when the first key of an environment is reserved, because daemons
// that disagree on it would look for one key in two buckets.
package booking
