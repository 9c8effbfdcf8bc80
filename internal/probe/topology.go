package probe

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/peer"
)

// fullMeshLimit is the number of daemons up to which each pulls from every other one. In a larger zone the
// daemons are divided into cells of about the square root of their number, and one relay of each cell pulls
// from the relays of the other cells on behalf of its cell.
const fullMeshLimit = 8

// Names of the feeds of a daemon.
const (
	// feedOwn holds the reports of the VMs that the daemon has probed itself.
	feedOwn = "Own"
	// feedCell holds, at a relay, the reports of the VMs that the daemons of its cell have probed. At any other
	// daemon it holds the same reports as feedOwn.
	feedCell = "Cell"
	// feedZone holds, at a relay, the reports of the VMs that all daemons have probed. At any other daemon it
	// holds the same reports as feedOwn.
	feedZone = "Zone"
)

// lateAgePercent is the age, in percent of the probe interval, above which a feed lists an unchanged report
// with its own age. Each hop adds up to three quarters of the interval, so in a stable zone no report is late.
var lateAgePercent = map[string]time.Duration{
	feedOwn:  150,
	feedCell: 225,
	feedZone: 300,
}

// source is a feed of another daemon to pull from. Its reports are added to the feeds of this daemon that
// are listed in republish.
type source struct {
	address   string
	feed      string
	republish []string
}

// sources returns the feeds that a daemon pulls from. While daemons disagree on which daemons are alive, one
// may pull from a daemon that is not a relay. The feed then holds only the reports of the VMs that this other
// daemon has probed itself, and the remaining reports arrive in a later round.
func sources(self string, alive []peer.Identity) []source {
	var srcs []source
	if len(alive) <= fullMeshLimit {
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
	own := cells.containing(self)
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
			address:   ide.Address,
			feed:      feedOwn,
			republish: []string{feedCell, feedZone},
		})
	}
	for _, cel := range cells {
		if cel[0].Name != self {
			srcs = append(srcs, source{
				address:   cel[0].Address,
				feed:      feedCell,
				republish: []string{feedZone},
			})
		}
	}
	return srcs
}

// cells are the daemons of a zone, divided into cells. The first daemon of each cell is its relay.
type cells [][]peer.Identity

// newCells orders the daemons by a hash of their names, so that a daemon that joins or leaves moves few others
// to another cell.
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

// containing returns the cell of a daemon, or nil.
func (cels cells) containing(name string) []peer.Identity {
	for _, cel := range cels {
		for _, ide := range cel {
			if ide.Name == name {
				return cel
			}
		}
	}
	return nil
}
