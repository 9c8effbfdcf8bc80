// Package rollout tells operators where a generation is in force: it asks the daemons of every
// availability zone and says which did not answer. It owns no state.
package rollout
