package router

// leastOutstanding returns a replica with the fewest of this daemon's own requests in flight, which needs no messages
// between daemons.
func (rtr *Router) leastOutstanding(views []ReplicaView) int {
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	chosen, equal := 0, 0
	for idx := range views {
		switch {
		case views[idx].OwnRequests < views[chosen].OwnRequests:
			chosen, equal = idx, 1
		case views[idx].OwnRequests == views[chosen].OwnRequests:
			equal++
			if rtr.random.IntN(equal) == 0 {
				chosen = idx
			}
		}
	}
	return chosen
}

// powerOfTwo draws two replicas at random and returns the one with less load over all daemons.
func (rtr *Router) powerOfTwo(views []ReplicaView) int {
	rtr.mu.Lock()
	fst := rtr.random.IntN(len(views))
	snd := rtr.random.IntN(len(views))
	rtr.mu.Unlock()
	if views[snd].Running+views[snd].Waiting < views[fst].Running+views[fst].Waiting {
		return snd
	}
	return fst
}
