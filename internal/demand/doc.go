// Package demand measures how much work callers ask of each model.
//
// A daemon adds the work of every request when it arrives, whether or not the request is served, so that an overloaded
// model is not taken for one that needs little. The measured rate is a moving average, in VMs that would be busy all the
// time. The package does no I/O and does not decide how many VMs a model gets.
package demand
