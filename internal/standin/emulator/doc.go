// Package emulator simulates load on engine groups with a simulated clock. It runs the daemons' own packages for placement
// and admission.
//
// It shows how placement and admission perform under a load pattern without starting any process. Engines follow the
// published step-time model, daemons see each other's load with the same staleness as in production, and a caller retries
// once after a rejection. It does not simulate the relay: responses are never lost, and sending a request takes no time.
package emulator
