// Package platform is a stand-in of the platform's object API, for tests and measurement only.
//
// It keeps objects in memory with versions, conditional updates and watches, counts calls, and can be
// out, slow or over its rate, lose writes or their answers, and list VMs late. Its state ends with it.
package platform
