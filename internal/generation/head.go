package generation

import "github.com/cumintally/cumintally/pkg/document"

// Head is the object Document/<environment>: the accepted generation and its parts.
type Head struct {
	Environment string
	Generation  uint64
	Digest      string
	Parts       []PartReference
	// Writer is a random token of the operator's call. When the response to a write was lost, it shows whether the
	// stored head is the one that this call wrote.
	Writer string
}

// PartReference refers to a part by its digest; the content is the object Part/<digest>.
type PartReference struct {
	Name   string
	Digest string
}

// Snapshot is the document in force; Generation is 0 if no document is in force.
type Snapshot struct {
	Generation uint64
	Digest     string
	Document   *document.Document
}
