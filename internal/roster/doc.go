// Package roster holds the backend servers that are registered now, and what each says of its group.
//
// It takes whole lists and single changes, and never replaces an entry by an older version. While the store
// is out, the last copy stays. It does no I/O.
package roster
