// Package settings reads and validates the INI settings of a daemon.
//
// A daemon with invalid settings does not start. An unknown section or key and an invalid value are errors that
// name the file, the section, the key and the expected value. The environment variable CUMINTALLY_SECTION_KEY
// overrides a key. The package does not watch the file and keeps no state after New has returned.
package settings
