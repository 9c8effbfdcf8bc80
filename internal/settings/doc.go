// Package settings reads and validates the INI settings of a daemon.
//
// It rejects a wrong settings file when the daemon starts, so that the error does not show up later. An
// unknown section or key and an invalid value are errors that name the file, the section, the key and the
// expected value. The environment variable CUMINTALLY_SECTION_KEY overrides a key. The package does not watch
// the file and keeps no state after New has returned.
package settings
