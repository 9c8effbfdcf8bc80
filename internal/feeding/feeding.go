package feeding

import (
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/follow"
)

// confirmedFor is the time for which a daemon counts as a candidate since the store confirmed its copy: a watch and
// two announcements of the largest site.
const confirmedFor = 2500 * time.Millisecond

// Feeding is one daemon's part in feeding the daemons of its site.
type Feeding struct {
	self string

	mu sync.Mutex
	// words holds what the other daemons said of themselves.
	words map[string]word
	// sent holds, by daemon and kind, the revision up to which changes were sent.
	sent map[string]map[string]uint64
}

// word is what a daemon said of itself.
type word struct {
	confirmed time.Time
	leads     bool
}

// New returns the part of the daemon named self.
func New(self string) *Feeding {
	return &Feeding{
		self:  self,
		words: map[string]word{},
		sent:  map[string]map[string]uint64{},
	}
}

// Heard notes what a daemon said of itself: when the store confirmed its copy, and whether it holds the site's lease.
func (fdg *Feeding) Heard(daemon string, confirmed time.Time, leads bool) {
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	fdg.words[daemon] = word{
		confirmed: confirmed,
		leads:     leads,
	}
}

// Feeds reports whether this daemon feeds the others, given when the store confirmed its own copy and whether it
// holds the site's lease.
func (fdg *Feeding) Feeds(confirmed time.Time, leads bool, now time.Time) bool {
	if now.Sub(confirmed) >= confirmedFor {
		return false
	}
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	for daemon, wrd := range fdg.words {
		if now.Sub(wrd.confirmed) >= confirmedFor {
			continue
		}
		if wrd.leads != leads {
			if wrd.leads {
				return false
			}
			continue
		}
		if daemon < fdg.self {
			return false
		}
	}
	return true
}

// Batches returns what a daemon lacks of the kinds that fols follow.
func (fdg *Feeding) Batches(daemon string, fols []*follow.Follower) []follow.Batch {
	var bats []follow.Batch
	for _, fol := range fols {
		fdg.mu.Lock()
		since, ok := fdg.sent[daemon][fol.Kind()]
		fdg.mu.Unlock()
		if !ok {
			since = fol.Recent()
		}
		if bat, ok := fol.Changes(since); ok {
			bats = append(bats, bat)
		}
	}
	return bats
}

// Sent notes that bats were sent to a daemon.
func (fdg *Feeding) Sent(daemon string, bats []follow.Batch) {
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	if fdg.sent[daemon] == nil {
		fdg.sent[daemon] = map[string]uint64{}
	}
	for idx := range bats {
		fdg.sent[daemon][bats[idx].Kind] = bats[idx].Revision
	}
}
