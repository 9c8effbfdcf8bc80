package loadview

import (
	"sync"
	"time"
)

const (
	// interval is the time between two announcements of a small site: some of them fall into the time to a first
	// token.
	interval = 100 * time.Millisecond
	// smallSite is the number of daemons up to which they all tell each other that often. Beyond it the interval grows
	// with their number, so that what a daemon sends does not.
	smallSite = 16
	// validFor is the time for which a daemon's word counts, longer than any interval.
	validFor = time.Second
	// mostInterval bounds the interval below validFor.
	mostInterval = 600 * time.Millisecond
)

// Interval returns the time between two announcements of a site with so many daemons.
func Interval(daemons int) time.Duration {
	return min(max(interval, interval*time.Duration(daemons)/smallSite), mostInterval)
}

// Load is work in progress at a backend server.
type Load struct {
	_ struct{} `cbor:",toarray"`

	Server string
	// Requests is the number of requests in progress, Unread that of the prompt tokens whose answer has not begun.
	Requests int
	Unread   int
}

// Announcement is a daemon's work in progress at all backend servers.
type Announcement struct {
	_ struct{} `cbor:",toarray"`

	// Sequence grows with each announcement of a daemon's process, named by Instance.
	Instance uint64
	Sequence uint64
	Loads    []Load
}

// View holds what the other daemons announced.
type View struct {
	mu      sync.Mutex
	daemons map[string]*word
}

type word struct {
	instance uint64
	sequence uint64
	at       time.Time
	loads    map[string]Load
}

// New returns an empty view.
func New() *View {
	return &View{
		daemons: map[string]*word{},
	}
}

// Take keeps an announcement unless a later one of the same process is known.
func (viw *View) Take(daemon string, ann Announcement, now time.Time) {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	old, ok := viw.daemons[daemon]
	if ok && old.instance == ann.Instance && ann.Sequence <= old.sequence {
		return
	}
	loads := make(map[string]Load, len(ann.Loads))
	for _, lod := range ann.Loads {
		loads[lod.Server] = lod
	}
	viw.daemons[daemon] = &word{
		instance: ann.Instance,
		sequence: ann.Sequence,
		at:       now,
		loads:    loads,
	}
}

// Others returns the work of all other daemons at a backend server.
func (viw *View) Others(server string, now time.Time) Load {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	sum := Load{
		Server: server,
	}
	for name, wrd := range viw.daemons {
		if now.Sub(wrd.at) > validFor {
			delete(viw.daemons, name)
			continue
		}
		sum.Requests += wrd.loads[server].Requests
		sum.Unread += wrd.loads[server].Unread
	}
	return sum
}

// Heard returns the names of the daemons whose word counts.
func (viw *View) Heard(now time.Time) []string {
	viw.mu.Lock()
	defer viw.mu.Unlock()
	var names []string
	for name, wrd := range viw.daemons {
		if now.Sub(wrd.at) <= validFor {
			names = append(names, name)
		}
	}
	return names
}
