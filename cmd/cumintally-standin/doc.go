// Command cumintally-standin runs stand-ins of the outside systems, for tests and measurement only.
package main
