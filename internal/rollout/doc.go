// Package rollout shows operators on which daemons a configuration generation is in force: it queries the daemons
// of every availability zone and names those that did not respond. It owns no state and changes no generation.
package rollout
