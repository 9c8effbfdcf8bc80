package router

// leastOutstanding returns a replica with the fewest own requests, as a daemon can without any messages.
func (rtr *Router) leastOutstanding(views []View) int {
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	chosen, equal := 0, 0
	for idx := range views {
		switch {
		case views[idx].Own < views[chosen].Own:
			chosen, equal = idx, 1
		case views[idx].Own == views[chosen].Own:
			equal++
			if rtr.rng.IntN(equal) == 0 {
				chosen = idx
			}
		}
	}
	return chosen
}

// powerOfTwo draws two replicas and returns the one with less load over all daemons.
func (rtr *Router) powerOfTwo(views []View) int {
	rtr.mu.Lock()
	fst := rtr.rng.IntN(len(views))
	snd := rtr.rng.IntN(len(views))
	rtr.mu.Unlock()
	if views[snd].Running+views[snd].Waiting < views[fst].Running+views[fst].Waiting {
		return snd
	}
	return fst
}
