package settings

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

// ErrInvalid says that the settings are not valid; the text names file, section, key and expectation.
const ErrInvalid = errors.ConstError("settings: invalid")

// envPrefix starts the names of environment variables that override settings.
const envPrefix = "CUMINTALLY_"

// Settings are the checked settings of a daemon.
type Settings struct {
	Entry     Entry
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators Operators
	Requests  Requests
	Bookings  Bookings
	Control   Control
	Limits    Limits
	Routing   Routing
	Site      Site
	Log       Log
}

// Entry says which entry VM this is.
type Entry struct {
	Name             string
	AvailabilityZone string
	Environment      string
}

// Listen holds the IP:port addresses that the daemon listens on.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	// AdvertisePeers is the address at which other daemons reach Peers; empty means Peers itself.
	AdvertisePeers string
	// Readiness is the address of the balancer's question; empty means Callers.
	Readiness string
	// Metrics is the address that serves metrics without a key; empty means Operators only.
	Metrics string
	// Source is the IP that outgoing connections leave from; empty means that of Peers.
	Source string
}

// Platform says where the platform's object API is, which protocol it speaks, and how long a call to it may take.
type Platform struct {
	Address string
	// Protocol is Native for the product's own object API, or Machines for that of the prepared machines.
	Protocol string
	Timeout  time.Duration
}

// Peers holds the shared key of the daemons and addresses to find the first peers at.
type Peers struct {
	Key   string
	Seeds []string
}

// Operators holds the key of the operators' interface.
type Operators struct {
	Key string
}

// Requests bounds what callers may ask for.
type Requests struct {
	MaxBodySize  int
	Timeout      time.Duration
	DrainTimeout time.Duration
	// ResumeWindow is the time for which a stream waits for a caller that lost its connection.
	ResumeWindow time.Duration
	// StopNotice is the time between failing readiness and refusing new requests.
	StopNotice time.Duration
}

// Bookings bounds the records of idempotency keys.
type Bookings struct {
	Buckets        int
	BatchTime      time.Duration
	ReserveTimeout time.Duration
	MaxResultSize  int
}

// Control holds the intervals and bounds of the control loops.
type Control struct {
	ProbeInterval  time.Duration
	EvidenceMaxAge time.Duration
	OrderTimeout   time.Duration
	LeaseDuration  time.Duration
}

// Limits holds the numbers of the limits over all daemons of an availability zone.
type Limits struct {
	Policy          string
	ValidFor        time.Duration
	Renew           time.Duration
	Settle          time.Duration
	ReportLag       time.Duration
	FirstToken      time.Duration
	MaxWait         time.Duration
	MaxWaiting      int
	AdjustInterval  time.Duration
	Increase        int
	DecreasePercent int
	Spare           int
}

// Routing holds the numbers of the choice of a replica.
type Routing struct {
	Policy      string
	Prefill     time.Duration
	Step        time.Duration
	AdapterLoad time.Duration
	NearPercent int
	HalfLife    time.Duration
}

// Site holds what a deployment on prepared machines tolerates; the bounds hold over all daemons together.
type Site struct {
	// RetryRatio is the number of repeats for each request of a service in RetryWindow, beyond RetryReserve.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// ColdExcess multiplies the rate that a cold backend server states; ColdReserve is added per second.
	ColdExcess  float64
	ColdReserve float64
	// StallTime is the time for which a group works on without a member.
	StallTime time.Duration
	// KnowWithin is the time within which a change in the store must be known.
	KnowWithin time.Duration
	// FirstStart says that the whole site starts for the first time.
	FirstStart bool
	// MemoryLimit is the memory in megabytes that the process may use, 0 for no limit.
	MemoryLimit float64
}

// Log says what is logged.
type Log struct {
	Level string
}

// New reads the settings file at path, unless path is empty, and the overrides in environ.
func New(path string, environ []string) (*Settings, error) {
	set := &Settings{}
	keys := keyTable(set)
	values := map[string]string{}
	if path != "" {
		if err := readFile(path, keys, values); err != nil {
			return nil, errors.Trace(err)
		}
	}
	source := readEnviron(environ, keys, values)
	for _, key := range keys {
		text, ok := values[key.id()]
		if !ok {
			text = key.preset
		}
		if err := key.parse(text); err != nil {
			place := path
			if source[key.id()] != "" {
				place = source[key.id()]
			}
			return nil, errors.Annotatef(ErrInvalid, "%s: [%s] %s: %q: expected %v", place, key.section, key.name, text, err)
		}
	}
	if err := set.checkKeys(path); err != nil {
		return nil, errors.Trace(err)
	}
	return set, nil
}

// checkKeys demands the keys that only the product's own protocols need.
func (set *Settings) checkKeys(path string) error {
	if set.Platform.Protocol != ProtocolNative {
		return nil
	}
	missing := "Peers"
	if set.Peers.Key != "" {
		missing = "Operators"
	}
	if set.Peers.Key != "" && set.Operators.Key != "" {
		return nil
	}
	return errors.Annotatef(ErrInvalid, "%s: [%s] Key: %q: expected a key of at least %d characters", path, missing, "", minKeySize)
}

func readFile(path string, keys []key, values map[string]string) error {
	known := map[string]bool{}
	sections := map[string]bool{}
	for _, key := range keys {
		known[key.id()] = true
		sections[key.section] = true
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return errors.Annotatef(ErrInvalid, "%s: %v", path, err)
	}
	for _, sec := range file.Sections() {
		if !sections[sec.Name()] && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			return errors.Annotatef(ErrInvalid, "%s: [%s]: unknown section, expected one of %s", path, sec.Name(), sortedNames(sections))
		}
		for _, ent := range sec.Keys() {
			idn := sec.Name() + "." + ent.Name()
			if !known[idn] {
				return errors.Annotatef(ErrInvalid, "%s: [%s] %s: unknown key", path, sec.Name(), ent.Name())
			}
			values[idn] = ent.Value()
		}
	}
	return nil
}

// readEnviron returns the variable that each overridden key came from.
func readEnviron(environ []string, keys []key, values map[string]string) map[string]string {
	given := map[string]string{}
	for _, ent := range environ {
		name, val, _ := strings.Cut(ent, "=")
		given[name] = val
	}
	source := map[string]string{}
	for _, key := range keys {
		name := envPrefix + strings.ToUpper(key.section) + "_" + strings.ToUpper(key.name)
		if val, ok := given[name]; ok {
			values[key.id()] = val
			source[key.id()] = name
		}
	}
	return source
}

func sortedNames(set map[string]bool) string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Print writes the settings in force as INI; secrets are hidden.
func (set *Settings) Print(out io.Writer) error {
	section := ""
	for _, key := range keyTable(set) {
		if key.section != section {
			section = key.section
			if _, err := fmt.Fprintf(out, "[%s]\n", section); err != nil {
				return errors.Trace(err)
			}
		}
		text := key.print()
		if key.secret && text != "" {
			text = "(hidden)"
		}
		if _, err := fmt.Fprintf(out, "; %s\n%s = %s\n", key.help, key.name, text); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
