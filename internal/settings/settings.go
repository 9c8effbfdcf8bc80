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

// ErrInvalid is the error for invalid settings. Its annotation names the file, the section, the key and the
// expected value.
const ErrInvalid = errors.ConstError("settings: invalid")

// envPrefix is the prefix of the environment variables that override settings.
const envPrefix = "CUMINTALLY_"

// Settings are the validated settings of a daemon.
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

// Entry identifies the entry VM and the environment that it serves.
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
	// AdvertisePeers is the address at which other daemons reach Peers; if empty, Peers itself.
	AdvertisePeers string
	// Readiness is the address that serves the readiness check of the load balancer; if empty, Callers.
	Readiness string
	// Metrics is the address that serves metrics without a key. If empty, only Operators serves metrics.
	Metrics string
	// Source is the source IP of outgoing connections; if empty, the IP of Peers.
	Source string
}

// Platform holds the address, the protocol and the call timeout of the platform's object API.
type Platform struct {
	Address string
	// Protocol is ProtocolNative for the object API of this project, or ProtocolMachines for that of the
	// prepared machines.
	Protocol string
	Timeout  time.Duration
}

// Peers holds the key that the daemons share and the addresses of the first peers to connect to.
type Peers struct {
	Key   string
	Seeds []string
}

// Operators holds the bearer key of the interface for operators.
type Operators struct {
	Key string
}

// Requests holds the limits for the requests of callers.
type Requests struct {
	// MaxBodySize is the largest request body in bytes.
	MaxBodySize int
	// Timeout is the longest time of one request.
	Timeout time.Duration
	// DrainTimeout is the longest time that a stop waits for requests in progress.
	DrainTimeout time.Duration
	// ResumeWindow is the time for which a stream is kept for a caller that lost its connection.
	ResumeWindow time.Duration
	// StopNotice is the time at a stop from when readiness begins to fail until new requests are rejected. It
	// must cover the time that the load balancer takes to notice.
	StopNotice time.Duration
	// MemoryBudget is the memory in megabytes for the requests of all callers in progress, 0 for a quarter of MemoryLimit, or 64
	// without such a limit.
	MemoryBudget float64
	// CallerPercent is the part of MemoryBudget that one caller may use, in per cent.
	CallerPercent int
	// MaxConnections is the number of callers' connections, 0 for half of the descriptors that the process may open.
	MaxConnections int
	// SocketBuffer is the size in bytes of each of the kernel's two buffers of a caller's connection.
	SocketBuffer int
	// MaxUnread is the memory in megabytes for data that callers send beside their requests in progress, 0 for half of the memory for
	// requests.
	MaxUnread float64
	// WriteTimeout is the longest time for which a caller may read nothing of a response.
	WriteTimeout time.Duration
}

// defaultMemoryBudget is the memory for requests in megabytes of a process without a memory limit, and memoryBudgetShare that of one
// with a limit as a share of it. Under load the process itself needs 30 to 60 MB of the 184 MB of the smallest VM, its 0.7 under which
// the garbage collector keeps the heap are 129 MB, and the connections and the buffers of responses need the rest.
const (
	defaultMemoryBudget = 64
	memoryBudgetShare   = 0.25
	// budgetBodies is the least number of largest bodies that fit into the budget: one is copied once, and within the share of a caller.
	budgetBodies = 3
)

// MaxUnreadBytes returns the bound in bytes of the data that callers send beside their requests in progress.
func (set *Settings) MaxUnreadBytes() int64 {
	if set.Requests.MaxUnread > 0 {
		return int64(set.Requests.MaxUnread * (1 << 20))
	}
	return set.MemoryBudgetBytes() / 2
}

// MemoryBudgetBytes returns the memory in bytes for the requests of all callers in progress.
func (set *Settings) MemoryBudgetBytes() int64 {
	size := set.Requests.MemoryBudget
	if size > 0 {
		return int64(size * (1 << 20))
	}
	size = defaultMemoryBudget
	if set.Site.MemoryLimit > 0 {
		size = set.Site.MemoryLimit * memoryBudgetShare
	}
	return max(int64(size*(1<<20)), budgetBodies*int64(set.Requests.MaxBodySize))
}

// Bookings holds the limits for the records of idempotency keys.
type Bookings struct {
	// Buckets is the number of buckets of a new environment. The first call with an idempotency key fixes it.
	Buckets int
	// BatchTime is the minimum mean time between two writes of a bucket by one daemon.
	BatchTime time.Duration
	// ReserveTimeout is the longest time to reserve an idempotency key.
	ReserveTimeout time.Duration
	// MaxResultSize is the largest response in bytes that is stored for a repeated key.
	MaxResultSize int
}

// Control holds the intervals and timeouts of the control loops.
type Control struct {
	// ProbeInterval is the time between two probes of a VM.
	ProbeInterval time.Duration
	// EvidenceMaxAge is the age up to which the report of a VM counts.
	EvidenceMaxAge time.Duration
	// OrderTimeout is the time after which an order to an engine is no longer valid.
	OrderTimeout time.Duration
	// LeaseDuration is the duration of the controller's lease.
	LeaseDuration time.Duration
}

// Limits holds the parameters of the limits that the daemons of an availability zone share.
type Limits struct {
	// Policy is how limits are divided among daemons.
	Policy string
	// ValidFor is the time for which granted slots are valid.
	ValidFor time.Duration
	// Renew is the time between two renewals of slots.
	Renew time.Duration
	// Settle is the time after which all daemons of a small zone see that one of them is cut off.
	Settle time.Duration
	// ReportLag is the greatest age of the load figures in a report.
	ReportLag time.Duration
	// FirstToken is the time to first token up to which limits grow.
	FirstToken time.Duration
	// MaxWait is the longest wait for a slot.
	MaxWait time.Duration
	// MaxWaiting is the largest number of requests that wait at one group.
	MaxWaiting int
	// AdjustInterval is the minimum time between two changes of a limit.
	AdjustInterval time.Duration
	// Increase is the number of slots that are added to a limit while first tokens are in time.
	Increase int
	// DecreasePercent is the percentage of a limit that is left when first tokens are late.
	DecreasePercent int
	// Spare is the number of unused slots that are kept at a warm group.
	Spare int
}

// Routing holds the parameters of the choice of a replica.
type Routing struct {
	// Policy is how a replica is chosen.
	Policy string
	// Prefill is the time to first token of a prompt that is not cached.
	Prefill time.Duration
	// Step is the time of a decoding step of a replica that is not slow.
	Step time.Duration
	// AdapterLoad is the time to load an adapter.
	AdapterLoad time.Duration
	// NearPercent is the difference in percent up to which two scores count as equal.
	NearPercent int
	// HalfLife is the time after which the weight of a hint of a cached prefix has halved.
	HalfLife time.Duration
	// PromptRetention is the time for which an engine on prepared machines is assumed to retain a prompt, 0 if it retains
	// none.
	PromptRetention time.Duration
}

// Site holds the limits of a deployment on prepared machines. The rates and counts apply to all daemons
// together.
type Site struct {
	// RetryRatio is the number of retries that are allowed for each request of a service in RetryWindow.
	RetryRatio float64
	// RetryReserve is the number of retries of a service in RetryWindow that are allowed beyond RetryRatio.
	RetryReserve float64
	// RetryWindow is the time over which requests and retries are counted.
	RetryWindow time.Duration
	// ColdExcess is the factor on the request rate that a cold backend server states.
	ColdExcess float64
	// ColdReserve is the number of requests per second that are added to the product of ColdExcess and that rate.
	ColdReserve float64
	// StallTime is the time for which a group continues to work without one of its members.
	StallTime time.Duration
	// KnowWithin is the time within which the daemons must know of a change in the store.
	KnowWithin time.Duration
	// FirstStart is set by the operator if the whole site starts for the first time.
	FirstStart bool
	// MemoryLimit is the memory in megabytes that the process may use, 0 for no limit.
	MemoryLimit float64
	// ShareSuspicions makes the daemons tell each other which backend servers fail, and avoid those.
	ShareSuspicions bool
}

// Log holds the settings of the log.
type Log struct {
	// Level is the least severe level that is logged.
	Level string
}

// New reads the settings file at path, unless path is empty, and applies the overrides in environ. Keys in
// neither have their default value.
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
			text = key.defaultValue
		}
		if err := key.parse(text); err != nil {
			origin := path
			if source[key.id()] != "" {
				origin = source[key.id()]
			}
			return nil, errors.Annotatef(ErrInvalid, "%s: [%s] %s: %q: expected %v", origin, key.section, key.name, text, err)
		}
	}
	if err := set.checkSecrets(path); err != nil {
		return nil, errors.Trace(err)
	}
	return set, nil
}

// checkSecrets returns an error if a secret key is missing. Only the native protocol needs the keys of peers
// and operators.
func (set *Settings) checkSecrets(path string) error {
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

// readEnviron sets the values that environment variables override. It returns the name of the variable for
// each overridden key.
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

// Print writes the settings in INI format, with secrets hidden.
func (set *Settings) Print(out io.Writer) error {
	section := ""
	for _, key := range keyTable(set) {
		if key.section != section {
			section = key.section
			if _, err := fmt.Fprintf(out, "[%s]\n", section); err != nil {
				return errors.Trace(err)
			}
		}
		text := key.format()
		if key.secret && text != "" {
			text = "(hidden)"
		}
		if _, err := fmt.Fprintf(out, "; %s\n%s = %s\n", key.help, key.name, text); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
