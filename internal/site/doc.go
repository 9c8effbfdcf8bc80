// Package site assembles the daemon of an entry VM on prepared machines: it connects the platform's store, the request
// relay, the gossip between daemons and the control of engine groups.
//
// All daemons are equal: none has a role that another one could not take over. All durable state is in the platform's
// store, and a daemon starts without any other state. Load balancing is done by package placement, the formation of
// groups by package sitecontrol.
package site
