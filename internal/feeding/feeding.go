package feeding

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/follow"
)

// confirmedFor is the time for which a daemon counts as a candidate since the store confirmed its copy: a watch and
// two announcements of the largest site.
const confirmedFor = 2500 * time.Millisecond

// Stamp is a moment by the clock of one daemon's process.
type Stamp struct {
	_ struct{} `cbor:",toarray"`

	Instance uint64
	// Elapsed is the time since the process began to announce.
	Elapsed time.Duration
}

// Word is what a daemon says of itself to the others of its zone.
type Word struct {
	_ struct{} `cbor:",toarray"`

	// Confirmed is the time since the store itself confirmed the daemon's copy of the registry.
	Confirmed time.Duration
	// Leads says that the daemon holds the site's lease.
	Leads bool
	// Now is when the daemon said so.
	Now Stamp
}

// Feed is what one daemon passes on to another.
type Feed struct {
	_ struct{} `cbor:",toarray"`

	// Echo is the receiver's last stamp that the sender knows, and Held the time since it came. Together they bound
	// the age of the batches by the receiver's own clock, however long the frame was on its way.
	Echo    Stamp
	Held    time.Duration
	Batches []follow.Batch
}

// Feeding is one daemon's part in feeding the daemons of its availability zone.
type Feeding struct {
	self     string
	instance uint64
	started  time.Time
	clk      clockwork.Clock

	mu sync.Mutex
	// words holds what the other daemons of the zone said of themselves.
	words map[string]heard
	// sent holds, by daemon and kind, the revision up to which changes were sent.
	sent map[string]map[string]uint64
}

// heard is a word and when it came.
type heard struct {
	word Word
	at   time.Time
}

// New returns the part of the daemon named self, whose process is named by instance.
func New(self string, instance uint64, clk clockwork.Clock) *Feeding {
	return &Feeding{
		self:     self,
		instance: instance,
		started:  clk.Now(),
		clk:      clk,
		words:    map[string]heard{},
		sent:     map[string]map[string]uint64{},
	}
}

// Say returns the daemon's word, given when the store itself confirmed its copy of the registry.
func (fdg *Feeding) Say(confirmed time.Time, leads bool) Word {
	return Word{
		Confirmed: fdg.clk.Since(confirmed),
		Leads:     leads,
		Now: Stamp{
			Instance: fdg.instance,
			Elapsed:  fdg.clk.Since(fdg.started),
		},
	}
}

// Hear notes the word of another daemon of the zone.
func (fdg *Feeding) Hear(daemon string, wrd Word) {
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	fdg.words[daemon] = heard{
		word: wrd,
		at:   fdg.clk.Now(),
	}
}

// Feeds reports whether this daemon, whose word is own, feeds the others of its zone; hubs are the daemons that may.
func (fdg *Feeding) Feeds(own Word, hubs []string) bool {
	if own.Confirmed >= confirmedFor {
		return false
	}
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	now := fdg.clk.Now()
	for daemon, hrd := range fdg.words {
		if !slices.Contains(hubs, daemon) || now.Sub(hrd.at)+hrd.word.Confirmed >= confirmedFor {
			continue
		}
		if hrd.word.Leads != own.Leads {
			if hrd.word.Leads {
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

// For returns what a daemon lacks of the kinds that fols follow, empty for a daemon that has not been heard.
func (fdg *Feeding) For(daemon string, fols []*follow.Follower) Feed {
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	hrd, ok := fdg.words[daemon]
	if !ok {
		return Feed{}
	}
	fed := Feed{
		Echo: hrd.word.Now,
		Held: fdg.clk.Since(hrd.at),
	}
	for _, fol := range fols {
		since, ok := fdg.sent[daemon][fol.Kind()]
		if !ok {
			since = fol.Revision()
		}
		if bat, ok := fol.Changes(since); ok {
			fed.Batches = append(fed.Batches, bat)
		}
	}
	return fed
}

// Sent notes that fed was sent to a daemon.
func (fdg *Feeding) Sent(daemon string, fed Feed) {
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	if fdg.sent[daemon] == nil {
		fdg.sent[daemon] = map[string]uint64{}
	}
	for idx := range fed.Batches {
		fdg.sent[daemon][fed.Batches[idx].Kind] = fed.Batches[idx].Revision
	}
}

// SentAt returns the earliest time at which fed can have been sent, false for one that was meant for another process.
func (fdg *Feeding) SentAt(fed Feed) (time.Time, bool) {
	if fed.Echo.Instance != fdg.instance {
		return time.Time{}, false
	}
	return fdg.started.Add(fed.Echo.Elapsed + fed.Held), true
}

// Take hands the batches of fed to the followers of their kinds.
func (fdg *Feeding) Take(fed Feed, fols []*follow.Follower) {
	sent, ok := fdg.SentAt(fed)
	if !ok {
		return
	}
	for _, bat := range fed.Batches {
		for _, fol := range fols {
			if fol.Kind() == bat.Kind {
				fol.Feed(bat, sent)
			}
		}
	}
}
