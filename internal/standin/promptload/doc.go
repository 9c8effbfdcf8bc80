// Package promptload measures the estimate of cached prompts against stand-in engines that cache prefixes.
//
// It starts engines on loopback and the placement of several daemons, sends requests that share parts of their prompt,
// and compares what the engines had cached and the time to the first token with the estimate off and on. Daemons see
// each other's load as on a site, as old as the announcements. Engines read one prompt after another, as the step model
// of the sites has it. It does not run the relay.
package promptload
