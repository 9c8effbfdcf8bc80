// Command cumintally-standin runs stand-ins for the external systems. It is for tests and benchmarks only.
package main
