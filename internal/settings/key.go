package settings

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// key is one setting: where it stands, its preset value, and how it is checked.
type key struct {
	section string
	name    string
	preset  string
	help    string
	secret  bool
	parse   func(text string) error
	print   func() string
}

func (key key) id() string {
	return key.section + "." + key.name
}

// keyTable lists every key; a new setting is one more row here.
func keyTable(set *Settings) []key {
	return []key{
		row("Entry", "Name", "", "name of this entry VM", name(&set.Entry.Name)),
		row("Entry", "AvailabilityZone", "", "availability zone of this entry VM", name(&set.Entry.AvailabilityZone)),
		row("Entry", "Environment", "production", "environment whose document is served", name(&set.Entry.Environment)),
		row("Listen", "Callers", "127.0.0.1:8080", "address for callers", address(&set.Listen.Callers)),
		row("Listen", "Operators", "127.0.0.1:8081", "address for operators and metrics", address(&set.Listen.Operators)),
		row("Listen", "Peers", "127.0.0.1:8082", "address for other daemons", address(&set.Listen.Peers)),
		row("Listen", "AdvertisePeers", "", "address at which other daemons reach Peers, if it differs", optional(address(&set.Listen.AdvertisePeers))),
		row("Listen", "Readiness", "", "address of the balancer's question, if it is not that of Callers", optional(address(&set.Listen.Readiness))),
		row("Listen", "Metrics", "", "address that serves metrics without a key", optional(address(&set.Listen.Metrics))),
		row("Listen", "Source", "", "IP of outgoing connections, if it is not that of Peers", optional(ip(&set.Listen.Source))),
		row("Platform", "Address", "127.0.0.1:7000", "address of the platform's object API", address(&set.Platform.Address)),
		row("Platform", "Protocol", "Native", "protocol of the platform", oneOf(&set.Platform.Protocol, ProtocolNative, ProtocolMachines)),
		row("Platform", "Timeout", "2s", "longest time of one call to the platform", duration(&set.Platform.Timeout, 10*time.Millisecond, time.Minute)),
		hidden(row("Peers", "Key", "", "key shared by the daemons of an environment", optional(secret(&set.Peers.Key)))),
		row("Peers", "Seeds", "", "comma separated peer addresses to start from", addresses(&set.Peers.Seeds)),
		hidden(row("Operators", "Key", "", "bearer key of the operators' interface", optional(secret(&set.Operators.Key)))),
		row("Requests", "MaxBodySize", "1048576", "largest request body in bytes", integer(&set.Requests.MaxBodySize, 1024, 64<<20)),
		row("Requests", "Timeout", "120s", "longest time of one request", duration(&set.Requests.Timeout, time.Second, time.Hour)),
		row("Requests", "DrainTimeout", "300s", "longest time that a stop waits for requests in progress", duration(&set.Requests.DrainTimeout, time.Second, time.Hour)),
		row("Requests", "ResumeWindow", "30s", "time for which a stream waits for a caller that lost it", duration(&set.Requests.ResumeWindow, 100*time.Millisecond, time.Hour)),
		row("Requests", "StopNotice", "2s", "time between failing /readyz and refusing new requests at a stop", duration(&set.Requests.StopNotice, 0, time.Minute)),
		row("Bookings", "Buckets", "32", "number of idempotency buckets of a new environment; fixed by its first keyed call",
			integer(&set.Bookings.Buckets, 1, 4096)),
		row("Bookings", "BatchTime", "100ms", "least mean time between two writes of a bucket by one daemon", duration(&set.Bookings.BatchTime, 0, time.Second)),
		row("Bookings", "ReserveTimeout", "1s", "longest time to reserve an idempotency key", duration(&set.Bookings.ReserveTimeout, 50*time.Millisecond, 10*time.Second)),
		row("Bookings", "MaxResultSize", "16384", "largest response in bytes that is stored for a repeated key", integer(&set.Bookings.MaxResultSize, 0, 256<<10)),
		row("Control", "ProbeInterval", "400ms", "time between two probes of a VM", duration(&set.Control.ProbeInterval, 10*time.Millisecond, time.Second)),
		row("Control", "EvidenceMaxAge", "1500ms", "age up to which a VM's report counts, at most 2s", duration(&set.Control.EvidenceMaxAge, 50*time.Millisecond, 2*time.Second)),
		row("Control", "OrderTimeout", "2s", "time after which an order is no longer valid", duration(&set.Control.OrderTimeout, 100*time.Millisecond, time.Minute)),
		row("Control", "LeaseDuration", "4s", "duration of the controller's lease", duration(&set.Control.LeaseDuration, 500*time.Millisecond, time.Minute)),
		row("Limits", "Policy", "Shared", "how limits are divided over daemons", oneOf(&set.Limits.Policy, "Shared", "PerRequest", "Static", "ThroughOwner")),
		row("Limits", "ValidFor", "2s", "time for which granted slots are valid", duration(&set.Limits.ValidFor, 200*time.Millisecond, time.Minute)),
		row("Limits", "Renew", "700ms", "time between two renewals of slots", duration(&set.Limits.Renew, 20*time.Millisecond, 10*time.Second)),
		row("Limits", "Settle", "2s", "time after which all daemons of a small zone see that one is cut off", duration(&set.Limits.Settle, 100*time.Millisecond, time.Minute)),
		row("Limits", "ReportLag", "1s", "greatest age of the load figures in a report", duration(&set.Limits.ReportLag, 0, time.Minute)),
		row("Limits", "FirstToken", "1200ms", "time to first token up to which limits grow", duration(&set.Limits.FirstToken, time.Millisecond, time.Minute)),
		row("Limits", "MaxWait", "5s", "longest wait for a slot", duration(&set.Limits.MaxWait, 10*time.Millisecond, time.Hour)),
		row("Limits", "MaxWaiting", "64", "most requests that wait at one group", integer(&set.Limits.MaxWaiting, 1, 100000)),
		row("Limits", "AdjustInterval", "500ms", "least time between two changes of a limit", duration(&set.Limits.AdjustInterval, 10*time.Millisecond, time.Minute)),
		row("Limits", "Increase", "2", "slots added while first tokens are in time", integer(&set.Limits.Increase, 1, 1000)),
		row("Limits", "DecreasePercent", "70", "per cent of a limit that is left when first tokens are late", integer(&set.Limits.DecreasePercent, 1, 99)),
		row("Limits", "Spare", "2", "unused slots kept at a warm group", integer(&set.Limits.Spare, 0, 1000)),
		row("Routing", "Policy", "Score", "how a replica is chosen", oneOf(&set.Routing.Policy, "Score", "RoundRobin", "LeastOutstanding", "PowerOfTwo")),
		row("Routing", "Prefill", "300ms", "time to the first token of a prompt that is not cached", duration(&set.Routing.Prefill, time.Millisecond, time.Minute)),
		row("Routing", "Step", "20ms", "time of a decoding step of a replica that is not slow", duration(&set.Routing.Step, time.Microsecond, time.Minute)),
		row("Routing", "AdapterLoad", "2s", "time to load an adapter", duration(&set.Routing.AdapterLoad, 0, time.Hour)),
		row("Routing", "NearPercent", "5", "difference up to which two scores are as good", integer(&set.Routing.NearPercent, 0, 100)),
		row("Routing", "HalfLife", "60s", "time after which a hint of a cached prefix counts half", duration(&set.Routing.HalfLife, time.Second, time.Hour)),
		row("Site", "RetryRatio", "0.2", "repeats for each request of a service, over all daemons", fraction(&set.Site.RetryRatio, 0, 10)),
		row("Site", "RetryReserve", "100", "repeats of a service beyond the share, over all daemons", fraction(&set.Site.RetryReserve, 0, 1000000)),
		row("Site", "RetryWindow", "10s", "time over which repeats are counted", duration(&set.Site.RetryWindow, 100*time.Millisecond, time.Hour)),
		row("Site", "ColdExcess", "1", "factor on the rate that a cold backend server states, over all daemons", fraction(&set.Site.ColdExcess, 0, 10)),
		row("Site", "ColdReserve", "0", "requests per second at a cold backend server beyond its rate", fraction(&set.Site.ColdReserve, 0, 1000000)),
		row("Site", "StallTime", "4s", "time for which a group works on without a member", duration(&set.Site.StallTime, 100*time.Millisecond, time.Minute)),
		row("Site", "KnowWithin", "2s", "time within which a change in the store must be known", duration(&set.Site.KnowWithin, 100*time.Millisecond, time.Minute)),
		row("Site", "FirstStart", "false", "whether the whole site starts for the first time", yesNo(&set.Site.FirstStart)),
		row("Site", "MemoryLimit", "0", "memory of the process in megabytes, 0 for no limit", fraction(&set.Site.MemoryLimit, 0, 1<<20)),
		row("Log", "Level", "info", "least severe level that is logged", oneOf(&set.Log.Level, "debug", "info", "warn", "error")),
	}
}

type kind struct {
	parse func(text string) error
	print func() string
}

func row(section, name, preset, help string, knd kind) key {
	return key{
		section: section,
		name:    name,
		preset:  preset,
		help:    help,
		parse:   knd.parse,
		print:   knd.print,
	}
}

func hidden(key key) key {
	key.secret = true
	return key
}

// Protocols of the platform.
const (
	ProtocolNative   = "Native"
	ProtocolMachines = "Machines"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func name(dst *string) kind {
	return text(dst, func(val string) error {
		if !namePattern.MatchString(val) {
			return fmt.Errorf("a name of lower-case letters, digits and hyphens")
		}
		return nil
	})
}

// minKeySize is the least length of a key in characters; 16 random characters resist guessing over a network.
const minKeySize = 16

func secret(dst *string) kind {
	return text(dst, func(val string) error {
		if len(val) < minKeySize {
			return fmt.Errorf("a key of at least %d characters", minKeySize)
		}
		return nil
	})
}

func address(dst *string) kind {
	return text(dst, checkAddress)
}

func ip(dst *string) kind {
	return text(dst, func(val string) error {
		if net.ParseIP(val) == nil {
			return fmt.Errorf("an IP")
		}
		return nil
	})
}

// optional lets a key be empty.
func optional(knd kind) kind {
	parse := knd.parse
	knd.parse = func(val string) error {
		if err := parse(val); err != nil && val != "" {
			return err
		}
		return nil
	}
	return knd
}

func checkAddress(val string) error {
	host, port, err := net.SplitHostPort(val)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("IP:port")
	}
	if num, err := strconv.Atoi(port); err != nil || num < 0 || num > 65535 {
		return fmt.Errorf("a port from 0 to 65535")
	}
	return nil
}

func oneOf(dst *string, choices ...string) kind {
	return text(dst, func(val string) error {
		for _, cho := range choices {
			if val == cho {
				return nil
			}
		}
		return fmt.Errorf("one of %s", strings.Join(choices, ", "))
	})
}

func text(dst *string, check func(val string) error) kind {
	return kind{
		parse: func(val string) error {
			*dst = val
			return check(val)
		},
		print: func() string { return *dst },
	}
}

func addresses(dst *[]string) kind {
	return kind{
		parse: func(val string) error {
			*dst = nil
			for _, adr := range strings.Split(val, ",") {
				adr = strings.TrimSpace(adr)
				if adr == "" {
					continue
				}
				if err := checkAddress(adr); err != nil {
					return fmt.Errorf("a list of IP:port")
				}
				*dst = append(*dst, adr)
			}
			return nil
		},
		print: func() string { return strings.Join(*dst, ",") },
	}
}

func yesNo(dst *bool) kind {
	return kind{
		parse: func(val string) error {
			res, err := strconv.ParseBool(val)
			if err != nil {
				return fmt.Errorf("true or false")
			}
			*dst = res
			return nil
		},
		print: func() string { return strconv.FormatBool(*dst) },
	}
}

func fraction(dst *float64, least, most float64) kind {
	return kind{
		parse: func(val string) error {
			num, err := strconv.ParseFloat(val, 64)
			// The comparison is false for a value that is no number.
			if err != nil || !(num >= least && num <= most) {
				return fmt.Errorf("a number from %g to %g", least, most)
			}
			*dst = num
			return nil
		},
		print: func() string { return strconv.FormatFloat(*dst, 'g', -1, 64) },
	}
}

func integer(dst *int, least, most int) kind {
	return kind{
		parse: func(val string) error {
			num, err := strconv.Atoi(val)
			if err != nil || num < least || num > most {
				return fmt.Errorf("a whole number from %d to %d", least, most)
			}
			*dst = num
			return nil
		},
		print: func() string { return strconv.Itoa(*dst) },
	}
}

func duration(dst *time.Duration, least, most time.Duration) kind {
	return kind{
		parse: func(val string) error {
			dur, err := time.ParseDuration(val)
			if err != nil || dur < least || dur > most {
				return fmt.Errorf("a duration from %v to %v", least, most)
			}
			*dst = dur
			return nil
		},
		print: func() string { return dst.String() },
	}
}
