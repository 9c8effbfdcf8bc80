// Package objects defines the contract of the platform's object API and provides its HTTP client.
//
// The API is the only durable store of the system. The package owns no state and does not retry calls. It
// distinguishes a write that was rejected, a write that certainly did not take effect, and a write whose outcome is
// unknown: its response was lost, so it may have taken effect.
package objects
