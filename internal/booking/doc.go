// Package booking reserves idempotency keys, so that a call under a key runs at most once, and stores the
// responses.
//
// Many keys share one object Bucket/<n> of the platform's store. A daemon reserves a key by a conditional
// update of the key's bucket before it sends the call, and writes the result into the key's record
// afterwards. Each record contains a random token of the request that reserved the key. The daemon that
// owns a bucket in the zone batches the operations of its peers into one write. Ownership only reduces the
// number of writes: any daemon may write any bucket, and only the conditional update decides which request
// holds a key.
//
// The package owns the objects of kind Bucket. It guarantees that at most one request ever holds a key: it
// removes a record only for the request whose token the record contains, and it replaces expired records
// with hashes that still reject the key. It never sends a call itself.
//
// Bounds: a bucket's value stays below maxBucketSize. A full bucket rejects new keys as not run until old
// results expire; it never drops a record or a hash. A response that exceeds MaxResultSize or the space left
// in its bucket is stored as status, size and digest only. The object Bucket/layout fixes the number of
// buckets when the first key of an environment is reserved, because daemons with different numbers would
// look for the same key in different buckets.
package booking
