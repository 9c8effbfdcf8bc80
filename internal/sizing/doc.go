// Package sizing decides how many groups of each model every fabric domain runs.
//
// It answers the load pattern of a site whose models share one fleet while VMs fail and come back all day. Each
// model needs groups in proportion to its share of the work; the model whose need is met least comes next. VMs
// that have no group are put to use at once; groups that work are given up for another model only if the worst
// met need gains clearly, since each change costs seconds of capacity. It does no I/O.
package sizing
