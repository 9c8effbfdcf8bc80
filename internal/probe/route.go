package probe

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/peer"
)

// meshLimit is the number of daemons up to which each asks every other one. Above it the daemons form
// cells of about the square root of their number, and one relay of each cell asks for the others.
const meshLimit = 8

// Feeds of a daemon.
const (
	// feedOwn holds what the daemon has probed itself.
	feedOwn = "Own"
	// feedCell holds what the daemons of a relay's cell have probed.
	feedCell = "Cell"
	// feedZone holds what all daemons have probed, at a relay.
	feedZone = "Zone"
)

// lateAfter is the age, in parts of a hundred of the probes' interval, above which a feed lists a report by
// name. Each step on the way adds up to three quarters of the interval, so that in a steady zone none is.
var lateAfter = map[string]time.Duration{
	feedOwn:  150,
	feedCell: 225,
	feedZone: 300,
}

// source is a feed of another daemon to ask, and the feeds of this daemon that its reports go to.
type source struct {
	address string
	feed    string
	into    []string
}

// sources returns whom a daemon asks. Daemons that differ in their view of who is alive may ask one that
// is not a relay; its feed is then empty and the reports come with the next round.
func sources(self string, alive []peer.Identity) []source {
	var srcs []source
	if len(alive) <= meshLimit {
		for _, ide := range alive {
			if ide.Name != self {
				srcs = append(srcs, source{
					address: ide.Address,
					feed:    feedOwn,
				})
			}
		}
		return srcs
	}
	cells := newCells(alive)
	own := cells.of(self)
	if own == nil {
		return nil
	}
	if own[0].Name != self {
		return []source{
			{
				address: own[0].Address,
				feed:    feedZone,
			},
		}
	}
	for _, ide := range own[1:] {
		srcs = append(srcs, source{
			address: ide.Address,
			feed:    feedOwn,
			into:    []string{feedCell, feedZone},
		})
	}
	for _, cel := range cells {
		if cel[0].Name != self {
			srcs = append(srcs, source{
				address: cel[0].Address,
				feed:    feedCell,
				into:    []string{feedZone},
			})
		}
	}
	return srcs
}

// cells are the daemons of a zone in cells; the first of each cell is its relay.
type cells [][]peer.Identity

// newCells orders the daemons by a hash of their names, so that one daemon that comes or goes moves few
// others to another cell.
func newCells(alive []peer.Identity) cells {
	ids := append([]peer.Identity(nil), alive...)
	sort.Slice(ids, func(fst, snd int) bool {
		return xxhash.Sum64String(ids[fst].Name) < xxhash.Sum64String(ids[snd].Name)
	})
	num := int(math.Ceil(math.Sqrt(float64(len(ids)))))
	cels := make(cells, 0, num)
	for idx := range num {
		from, to := idx*len(ids)/num, (idx+1)*len(ids)/num
		if from < to {
			cels = append(cels, ids[from:to])
		}
	}
	return cels
}

func (cels cells) of(name string) []peer.Identity {
	for _, cel := range cels {
		for _, ide := range cel {
			if ide.Name == name {
				return cel
			}
		}
	}
	return nil
}
