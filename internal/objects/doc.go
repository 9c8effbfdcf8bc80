// Package objects is the contract and the HTTP client of the platform's object API.
//
// The API is the only durable store of the system. The package owns no state. It tells apart a write
// that was refused, a write that certainly did not take effect, and a write whose outcome is unknown,
// because the last one may have taken effect although its answer was lost.
package objects
