// Package objectcache is a daemon's copy of the platform's objects of one kind.
//
// Two daemons of a zone watch the platform; the others get changes from peers. An object is never
// replaced by an older version. Versions are store-wide, so the highest version in a copy tells what it
// lacks, as long as each addition is complete from the copy's position on. The package owns the copy;
// while the platform and the peers are out, it stays as it is.
package objectcache
