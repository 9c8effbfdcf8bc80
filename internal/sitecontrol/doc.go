// Package sitecontrol runs the control loop for the groups of a site on the daemon that holds the site's lease.
//
// It plans the groups of every availability zone from the registrations of the engines, writes the allocations by
// conditional update, and sends the orders that package orderplan computes. It replaces lost VMs and starts a site from
// nothing. It keeps no durable state: after a failover, the new lease holder continues from the allocations in the
// store and the reports of the engines. It does not route requests.
package sitecontrol
