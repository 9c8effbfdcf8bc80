// Package memory measures the memory that code under test takes.
package memory
