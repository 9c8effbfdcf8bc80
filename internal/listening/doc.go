// Package listening opens the listeners of a daemon and serves on them.
package listening
