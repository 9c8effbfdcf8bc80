// Package emulator plays load against groups of engines on a simulated clock, with the packages that place and turn
// away requests in the daemons.
//
// It answers how these decisions fare under a load pattern before anything is started: engines follow the published
// step model, daemons see each other's work as late as they do at work, callers come back once after a refusal. It is
// not the relay: answers are never lost, and a send takes no time.
package emulator
