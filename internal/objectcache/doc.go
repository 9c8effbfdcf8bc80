// Package objectcache holds a daemon's copy of the platform's objects of one kind.
//
// Two daemons of a zone watch the platform; the others receive changes from peers. An object is never replaced by an
// older version. Versions are store-wide, so the highest version in a copy, its position, determines which changes
// the copy lacks, as long as each addition is complete from that position on. While neither the platform nor the
// peers can be reached, the copy stays as it is. The package does no I/O.
package objectcache
