// Package service is a stand-in for a backend server of a plain service, for tests and measurement only.
//
// It counts how often each booking ran, so that a test can check that no booking ran twice and that no request ran whose
// response says that it did not run. It checks nothing itself and keeps no state after it ends.
package service
