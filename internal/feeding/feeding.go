package feeding

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/follow"
)

const (
	// spokeFor is the time since its last word for which a hub is taken to feed its zone: some intervals of words.
	spokeFor = 700 * time.Millisecond
	// resendAfter is the time after which changes that a daemon does not confirm are sent once more.
	resendAfter = 700 * time.Millisecond
)

// Stamp is a moment by the clock of one daemon's process.
type Stamp struct {
	_ struct{} `cbor:",toarray"`

	Instance uint64
	// Elapsed is the time since the process began to announce.
	Elapsed time.Duration
}

// Word is what a daemon says of its copies to the others.
type Word struct {
	_ struct{} `cbor:",toarray"`

	// Current says that its copy of the registry is current, so that it can feed others.
	Current bool
	// Revisions are those of its copies, in the order of the kinds that daemons feed each other with.
	Revisions []uint64
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
	// sent holds what was sent to each daemon last, by kind.
	sent map[string]map[string]sentBatch
}

// heard is a word and when it came.
type heard struct {
	word Word
	at   time.Time
}

// sentBatch is the revision up to which changes were sent, and when.
type sentBatch struct {
	revision uint64
	at       time.Time
}

// New returns the part of the daemon named self, whose process is named by instance.
func New(self string, instance uint64, clk clockwork.Clock) *Feeding {
	return &Feeding{
		self:     self,
		instance: instance,
		started:  clk.Now(),
		clk:      clk,
		words:    map[string]heard{},
		sent:     map[string]map[string]sentBatch{},
	}
}

// Say returns the daemon's word on its copies.
func (fdg *Feeding) Say(current bool, fols []*follow.Follower) Word {
	wrd := Word{
		Current: current,
		Now: Stamp{
			Instance: fdg.instance,
			Elapsed:  fdg.clk.Since(fdg.started),
		},
	}
	for _, fol := range fols {
		wrd.Revisions = append(wrd.Revisions, fol.Revision())
	}
	return wrd
}

// Hear notes the word of another daemon.
func (fdg *Feeding) Hear(daemon string, wrd Word) {
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	if fdg.words[daemon].word.Now.Instance != wrd.Now.Instance {
		delete(fdg.sent, daemon)
	}
	fdg.words[daemon] = heard{
		word: wrd,
		at:   fdg.clk.Now(),
	}
}

// Feeds reports whether this daemon, whose word is own, feeds the others of its zone: it is the first of the zone's hubs
// whose copy is current.
func (fdg *Feeding) Feeds(own Word, hubs []string) bool {
	if !own.Current || !slices.Contains(hubs, fdg.self) {
		return false
	}
	fdg.mu.Lock()
	defer fdg.mu.Unlock()
	now := fdg.clk.Now()
	for _, name := range hubs {
		hrd, ok := fdg.words[name]
		if ok && name < fdg.self && hrd.word.Current && now.Sub(hrd.at) < spokeFor {
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
	now := fdg.clk.Now()
	fed := Feed{
		Echo: hrd.word.Now,
		Held: now.Sub(hrd.at),
	}
	for idx, fol := range fols {
		if idx >= len(hrd.word.Revisions) || hrd.word.Revisions[idx] == 0 {
			// The daemon has not listed the kind yet.
			continue
		}
		since := hrd.word.Revisions[idx]
		if snt := fdg.sent[daemon][fol.Kind()]; snt.revision > since && now.Sub(snt.at) < resendAfter {
			// These changes are on their way.
			since = snt.revision
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
		fdg.sent[daemon] = map[string]sentBatch{}
	}
	for idx := range fed.Batches {
		bat := &fed.Batches[idx]
		if len(bat.Packed) > 0 || fdg.sent[daemon][bat.Kind].revision < bat.Revision {
			fdg.sent[daemon][bat.Kind] = sentBatch{
				revision: bat.Revision,
				at:       fdg.clk.Now(),
			}
		}
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
