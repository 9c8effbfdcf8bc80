// Package firsttoken learns by how much first tokens come later than the published step model of the engines says.
//
// The step model lacks the fixed time that an engine takes for every first token, and what the load of other daemons
// hides. With forecasts that are too low by a constant, requests are sent whose responses begin late although their
// forecast was on time: low-rate arrivals at groups that are far from full as well as a burst at nearly full ones. The
// package owns the differences between measured and modelled times of this daemon's own requests, by service, model and
// load band. It does no I/O, exchanges no messages and decides nothing about admission. A returned error is zero until
// enough requests were observed, and never beyond a fixed bound.
package firsttoken
