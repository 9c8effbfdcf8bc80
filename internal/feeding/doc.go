// Package feeding decides which daemon of an availability zone passes changes of the store on to the others, and
// which changes each of them still lacks.
//
// The daemon that holds the site's lease feeds its zone, since it has to watch the store in any case; elsewhere it
// is the one with the lowest name among those whose copies the store itself confirms. A daemon that is fed does not
// watch the store, so it is no candidate, and the role stays where it is until its holder is lost or cut off from
// the store. One for each zone, so that zones that are cut off from each other go on, and no daemon sends to more
// than its zone. Two daemons that feed at once only cost bytes, and none costs calls to the store: each daemon that
// is not fed watches by itself.
package feeding
