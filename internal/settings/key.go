package settings

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// key is one setting: its section and name in the INI file, its default value, and the functions that parse
// and format its value.
type key struct {
	section      string
	name         string
	defaultValue string
	help         string
	secret       bool
	parse        func(text string) error
	format       func() string
}

func (key key) id() string {
	return key.section + "." + key.name
}

// keyTable lists all keys. A new setting needs one more row here.
func keyTable(set *Settings) []key {
	return []key{
		newKey("Entry", "Name", "", "name of this entry VM", nameValue(&set.Entry.Name)),
		newKey("Entry", "AvailabilityZone", "", "availability zone of this entry VM", nameValue(&set.Entry.AvailabilityZone)),
		newKey("Entry", "Environment", "production", "environment whose document is served", nameValue(&set.Entry.Environment)),
		newKey("Listen", "Callers", "127.0.0.1:8080", "address for callers", addressValue(&set.Listen.Callers)),
		newKey("Listen", "Operators", "127.0.0.1:8081", "address for operators and metrics", addressValue(&set.Listen.Operators)),
		newKey("Listen", "Peers", "127.0.0.1:8082", "address for other daemons", addressValue(&set.Listen.Peers)),
		newKey("Listen", "AdvertisePeers", "", "address at which other daemons reach Peers, if it differs", optional(addressValue(&set.Listen.AdvertisePeers))),
		newKey("Listen", "Readiness", "", "address of the balancer's question, if it is not that of Callers", optional(addressValue(&set.Listen.Readiness))),
		newKey("Listen", "Metrics", "", "address that serves metrics without a key", optional(addressValue(&set.Listen.Metrics))),
		newKey("Listen", "Source", "", "IP of outgoing connections, if it is not that of Peers", optional(ipValue(&set.Listen.Source))),
		newKey("Platform", "Address", "127.0.0.1:7000", "address of the platform's object API", addressValue(&set.Platform.Address)),
		newKey("Platform", "Protocol", "Native", "protocol of the platform", choiceValue(&set.Platform.Protocol, ProtocolNative, ProtocolMachines)),
		newKey("Platform", "Timeout", "2s", "longest time of one call to the platform", durationValue(&set.Platform.Timeout, 10*time.Millisecond, time.Minute)),
		markSecret(newKey("Peers", "Key", "", "key shared by the daemons of an environment", optional(secretValue(&set.Peers.Key)))),
		newKey("Peers", "Seeds", "", "comma separated peer addresses to start from", addressList(&set.Peers.Seeds)),
		markSecret(newKey("Operators", "Key", "", "bearer key of the operators' interface", optional(secretValue(&set.Operators.Key)))),
		newKey("Requests", "MaxBodySize", "1048576", "largest request body in bytes", intValue(&set.Requests.MaxBodySize, 1024, 64<<20)),
		newKey("Requests", "Timeout", "120s", "longest time of one request", durationValue(&set.Requests.Timeout, time.Second, time.Hour)),
		newKey("Requests", "DrainTimeout", "300s", "longest time that a stop waits for requests in progress", durationValue(&set.Requests.DrainTimeout, time.Second, time.Hour)),
		newKey("Requests", "ResumeWindow", "30s", "time for which a stream waits for a caller that lost it", durationValue(&set.Requests.ResumeWindow, 100*time.Millisecond, time.Hour)),
		newKey("Requests", "StopNotice", "2s", "time between failing /readyz and refusing new requests at a stop", durationValue(&set.Requests.StopNotice, 0, time.Minute)),
		newKey("Requests", "MemoryBudget", "0", "memory in megabytes for requests in progress, 0 for a quarter of MemoryLimit, or 64",
			floatValue(&set.Requests.MemoryBudget, 0, 1<<20)),
		newKey("Requests", "CallerPercent", "75", "per cent of MemoryBudget that one caller may use", intValue(&set.Requests.CallerPercent, 1, 100)),
		newKey("Requests", "MaxConnections", "0", "most connections of callers, 0 for half of the descriptors",
			intValue(&set.Requests.MaxConnections, 0, 1<<20)),
		newKey("Requests", "SocketBuffer", "65536", "bytes of each kernel buffer of a caller's connection", intValue(&set.Requests.SocketBuffer, 4096, 64<<20)),
		newKey("Requests", "MaxUnread", "0", "megabytes that callers send beside requests in progress, 0 for half of MemoryBudget",
			floatValue(&set.Requests.MaxUnread, 0, 1<<20)),
		newKey("Requests", "WriteTimeout", "30s", "longest time for which a caller may read nothing of a response",
			durationValue(&set.Requests.WriteTimeout, time.Second, time.Hour)),
		newKey("Bookings", "Buckets", "32", "number of idempotency buckets of a new environment; fixed by its first keyed call",
			intValue(&set.Bookings.Buckets, 1, 4096)),
		newKey("Bookings", "BatchTime", "100ms", "least mean time between two writes of a bucket by one daemon", durationValue(&set.Bookings.BatchTime, 0, time.Second)),
		newKey("Bookings", "ReserveTimeout", "1s", "longest time to reserve an idempotency key", durationValue(&set.Bookings.ReserveTimeout, 50*time.Millisecond, 10*time.Second)),
		newKey("Bookings", "MaxResultSize", "16384", "largest response in bytes that is stored for a repeated key", intValue(&set.Bookings.MaxResultSize, 0, 256<<10)),
		newKey("Control", "ProbeInterval", "400ms", "time between two probes of a VM", durationValue(&set.Control.ProbeInterval, 10*time.Millisecond, time.Second)),
		newKey("Control", "EvidenceMaxAge", "1500ms", "age up to which a VM's report counts, at most 2s", durationValue(&set.Control.EvidenceMaxAge, 50*time.Millisecond, 2*time.Second)),
		newKey("Control", "OrderTimeout", "2s", "time after which an order is no longer valid", durationValue(&set.Control.OrderTimeout, 100*time.Millisecond, time.Minute)),
		newKey("Control", "LeaseDuration", "4s", "duration of the controller's lease", durationValue(&set.Control.LeaseDuration, 500*time.Millisecond, time.Minute)),
		newKey("Limits", "Policy", "Shared", "how limits are divided over daemons", choiceValue(&set.Limits.Policy, "Shared", "PerRequest", "Static", "ThroughOwner")),
		newKey("Limits", "ValidFor", "2s", "time for which granted slots are valid", durationValue(&set.Limits.ValidFor, 200*time.Millisecond, time.Minute)),
		newKey("Limits", "Renew", "700ms", "time between two renewals of slots", durationValue(&set.Limits.Renew, 20*time.Millisecond, 10*time.Second)),
		newKey("Limits", "Settle", "2s", "time after which all daemons of a small zone see that one is cut off", durationValue(&set.Limits.Settle, 100*time.Millisecond, time.Minute)),
		newKey("Limits", "ReportLag", "1s", "greatest age of the load figures in a report", durationValue(&set.Limits.ReportLag, 0, time.Minute)),
		newKey("Limits", "FirstToken", "1200ms", "time to first token up to which limits grow", durationValue(&set.Limits.FirstToken, time.Millisecond, time.Minute)),
		newKey("Limits", "MaxWait", "5s", "longest wait for a slot", durationValue(&set.Limits.MaxWait, 10*time.Millisecond, time.Hour)),
		newKey("Limits", "MaxWaiting", "64", "most requests that wait at one group", intValue(&set.Limits.MaxWaiting, 1, 100000)),
		newKey("Limits", "AdjustInterval", "500ms", "least time between two changes of a limit", durationValue(&set.Limits.AdjustInterval, 10*time.Millisecond, time.Minute)),
		newKey("Limits", "Increase", "2", "slots added while first tokens are in time", intValue(&set.Limits.Increase, 1, 1000)),
		newKey("Limits", "DecreasePercent", "70", "per cent of a limit that is left when first tokens are late", intValue(&set.Limits.DecreasePercent, 1, 99)),
		newKey("Limits", "Spare", "2", "unused slots kept at a warm group", intValue(&set.Limits.Spare, 0, 1000)),
		newKey("Routing", "Policy", "Score", "how a replica is chosen", choiceValue(&set.Routing.Policy, "Score", "RoundRobin", "LeastOutstanding", "PowerOfTwo")),
		newKey("Routing", "Prefill", "300ms", "time to the first token of a prompt that is not cached", durationValue(&set.Routing.Prefill, time.Millisecond, time.Minute)),
		newKey("Routing", "Step", "20ms", "time of a decoding step of a replica that is not slow", durationValue(&set.Routing.Step, time.Microsecond, time.Minute)),
		newKey("Routing", "AdapterLoad", "2s", "time to load an adapter", durationValue(&set.Routing.AdapterLoad, 0, time.Hour)),
		newKey("Routing", "NearPercent", "5", "difference up to which two scores are as good", intValue(&set.Routing.NearPercent, 0, 100)),
		newKey("Routing", "HalfLife", "60s", "time after which a hint of a cached prefix counts half", durationValue(&set.Routing.HalfLife, time.Second, time.Hour)),
		newKey("Routing", "PromptRetention", "0s", "time for which engines on prepared machines retain a prompt, 0 if not", durationValue(&set.Routing.PromptRetention, 0, time.Hour)),
		newKey("Site", "RetryRatio", "0.2", "repeats for each request of a service, over all daemons", floatValue(&set.Site.RetryRatio, 0, 10)),
		newKey("Site", "RetryReserve", "100", "repeats of a service beyond the share, over all daemons", floatValue(&set.Site.RetryReserve, 0, 1000000)),
		newKey("Site", "RetryWindow", "10s", "time over which repeats are counted", durationValue(&set.Site.RetryWindow, 100*time.Millisecond, time.Hour)),
		newKey("Site", "ColdExcess", "1", "factor on the rate that a cold backend server states, over all daemons", floatValue(&set.Site.ColdExcess, 0, 10)),
		newKey("Site", "ColdReserve", "0", "requests per second at a cold backend server beyond its rate", floatValue(&set.Site.ColdReserve, 0, 1000000)),
		newKey("Site", "StallTime", "4s", "time for which a group works on without a member", durationValue(&set.Site.StallTime, 100*time.Millisecond, time.Minute)),
		newKey("Site", "KnowWithin", "2s", "time within which a change in the store must be known", durationValue(&set.Site.KnowWithin, 100*time.Millisecond, time.Minute)),
		newKey("Site", "FirstStart", "false", "whether the whole site starts for the first time", boolValue(&set.Site.FirstStart)),
		newKey("Site", "MemoryLimit", "0", "memory of the process in megabytes, 0 for no limit", floatValue(&set.Site.MemoryLimit, 0, 1<<20)),
		newKey("Site", "ShareSuspicions", "false", "whether daemons tell each other which servers fail", boolValue(&set.Site.ShareSuspicions)),
		newKey("Log", "Level", "info", "least severe level that is logged", choiceValue(&set.Log.Level, "debug", "info", "warn", "error")),
	}
}

// valueCodec parses, validates and formats the value of a setting. parse stores the value in the setting.
type valueCodec struct {
	parse  func(text string) error
	format func() string
}

func newKey(section, name, defaultValue, help string, cdc valueCodec) key {
	return key{
		section:      section,
		name:         name,
		defaultValue: defaultValue,
		help:         help,
		parse:        cdc.parse,
		format:       cdc.format,
	}
}

func markSecret(key key) key {
	key.secret = true
	return key
}

// Protocols of the platform.
const (
	ProtocolNative   = "Native"
	ProtocolMachines = "Machines"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func nameValue(dst *string) valueCodec {
	return textValue(dst, func(val string) error {
		if !namePattern.MatchString(val) {
			return fmt.Errorf("a name of lower-case letters, digits and hyphens")
		}
		return nil
	})
}

// minKeySize is the minimum length of a secret key in characters. 16 random characters resist guessing over a
// network.
const minKeySize = 16

func secretValue(dst *string) valueCodec {
	return textValue(dst, func(val string) error {
		if len(val) < minKeySize {
			return fmt.Errorf("a key of at least %d characters", minKeySize)
		}
		return nil
	})
}

func addressValue(dst *string) valueCodec {
	return textValue(dst, checkAddress)
}

func ipValue(dst *string) valueCodec {
	return textValue(dst, func(val string) error {
		if net.ParseIP(val) == nil {
			return fmt.Errorf("an IP")
		}
		return nil
	})
}

// optional also accepts an empty value.
func optional(cdc valueCodec) valueCodec {
	parse := cdc.parse
	cdc.parse = func(val string) error {
		if err := parse(val); err != nil && val != "" {
			return err
		}
		return nil
	}
	return cdc
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

func choiceValue(dst *string, choices ...string) valueCodec {
	return textValue(dst, func(val string) error {
		for _, cho := range choices {
			if val == cho {
				return nil
			}
		}
		return fmt.Errorf("one of %s", strings.Join(choices, ", "))
	})
}

func textValue(dst *string, check func(val string) error) valueCodec {
	return valueCodec{
		parse: func(val string) error {
			*dst = val
			return check(val)
		},
		format: func() string { return *dst },
	}
}

func addressList(dst *[]string) valueCodec {
	return valueCodec{
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
		format: func() string { return strings.Join(*dst, ",") },
	}
}

func boolValue(dst *bool) valueCodec {
	return valueCodec{
		parse: func(val string) error {
			res, err := strconv.ParseBool(val)
			if err != nil {
				return fmt.Errorf("true or false")
			}
			*dst = res
			return nil
		},
		format: func() string { return strconv.FormatBool(*dst) },
	}
}

func floatValue(dst *float64, minimum, maximum float64) valueCodec {
	return valueCodec{
		parse: func(val string) error {
			num, err := strconv.ParseFloat(val, 64)
			// The comparison is written so that it rejects NaN.
			if err != nil || !(num >= minimum && num <= maximum) {
				return fmt.Errorf("a number from %g to %g", minimum, maximum)
			}
			*dst = num
			return nil
		},
		format: func() string { return strconv.FormatFloat(*dst, 'g', -1, 64) },
	}
}

func intValue(dst *int, minimum, maximum int) valueCodec {
	return valueCodec{
		parse: func(val string) error {
			num, err := strconv.Atoi(val)
			if err != nil || num < minimum || num > maximum {
				return fmt.Errorf("a whole number from %d to %d", minimum, maximum)
			}
			*dst = num
			return nil
		},
		format: func() string { return strconv.Itoa(*dst) },
	}
}

func durationValue(dst *time.Duration, minimum, maximum time.Duration) valueCodec {
	return valueCodec{
		parse: func(val string) error {
			dur, err := time.ParseDuration(val)
			if err != nil || dur < minimum || dur > maximum {
				return fmt.Errorf("a duration from %v to %v", minimum, maximum)
			}
			*dst = dur
			return nil
		},
		format: func() string { return dst.String() },
	}
}
