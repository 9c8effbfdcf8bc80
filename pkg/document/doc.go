// Package document defines the document of an environment: the models, versions, adapters, groups, availability
// zones, services, workspaces and service levels that operators configure.
//
// The package parses and validates documents, splits them into content-addressed parts and compares them. It
// performs no I/O, owns no state and does not check whether the VMs suffice for a document.
package document
