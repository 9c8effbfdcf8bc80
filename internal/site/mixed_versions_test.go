package site

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/cumintally/cumintally/internal/demand"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/promptcrash"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/rejections"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/storefeed"
	"github.com/cumintally/cumintally/internal/storesync"
)

// Guards against daemons of two versions that refuse each other's messages or stored objects while VMs are upgraded one after the
// other. The files were written by the versions after which their folders are named. What they wrote must be read, and what
// this version writes must be the same: an array with one more field would be refused whole.
func TestVersionsReadEachOther(tst *testing.T) {
	for _, version := range []string{"9e28f13", "0bdfa84"} {
		tst.Run(version, func(tst *testing.T) {
			dir := filepath.Join("testdata", version)
			checkMessage(tst, filepath.Join(dir, "gossip.hex"), exampleMessage())
			objs := exampleObjects()
			if version != "9e28f13" {
				// That version did not write these yet.
				checkMessage(tst, filepath.Join(dir, "crashes.hex"), exampleCrashes())
				objs[objects.KindQuarantine] = exampleBlocked()
			}
			checkObjects(tst, dir, objs)
		})
	}
}

// checkMessage checks that a message in a file is read as val, and that this version writes val in the same bytes.
func checkMessage[T any](tst *testing.T, path string, val T) {
	tst.Helper()
	text, err := os.ReadFile(path)
	qt.Assert(tst, err, qt.IsNil)
	written, err := hex.DecodeString(string(text[:len(text)-1]))
	qt.Assert(tst, err, qt.IsNil)
	var got T
	qt.Assert(tst, cbor.Unmarshal(written, &got), qt.IsNil)
	qt.Assert(tst, reflect.DeepEqual(got, val), qt.IsTrue)
	data, err := cbor.Marshal(val)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, data, qt.DeepEquals, written)
}

// checkObjects checks that stored objects in a folder are read as objs, and that this version writes them in the same way.
func checkObjects(tst *testing.T, dir string, objs map[string]any) {
	tst.Helper()
	for kind, val := range objs {
		written, err := os.ReadFile(filepath.Join(dir, kind+".json"))
		qt.Assert(tst, err, qt.IsNil)
		got := reflect.New(reflect.TypeOf(val))
		qt.Assert(tst, json.Unmarshal(written, got.Interface()), qt.IsNil)
		qt.Assert(tst, reflect.DeepEqual(got.Elem().Interface(), val), qt.IsTrue, qt.Commentf("%s", kind))
		data, err := json.Marshal(val)
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, string(data)+"\n", qt.Equals, string(written))
	}
}

// Guards against a message about crashes that a daemon of an earlier or later version refuses: fields that it does not know
// are skipped, and those that it lacks are zero.
func TestCrashMessageMayGainFields(tst *testing.T) {
	later, err := cbor.Marshal(map[string]any{
		"Crashes": []map[string]any{
			{
				"Model":   "large",
				"Parts":   []string{"a"},
				"Event":   "vm-1/5",
				"Unknown": 1,
			},
		},
		"Unknown": []string{"b"},
	})
	qt.Assert(tst, err, qt.IsNil)
	var msg crashMessage
	qt.Assert(tst, cbor.Unmarshal(later, &msg), qt.IsNil)
	qt.Assert(tst, msg.Crashes[0].Parts, qt.DeepEquals, []string{"a"})
	var rec blockedRecord
	qt.Assert(tst, json.Unmarshal([]byte(`{"Combinations":[{"Model":"large","Parts":["a"],"Unknown":1}],"Unknown":{}}`), &rec), qt.IsNil)
	qt.Assert(tst, rec.Combinations[0].Model, qt.Equals, "large")
}

// exampleMessage returns a message in which every field is set.
func exampleMessage() gossipMessage {
	loads := []loadview.Load{
		{
			Server:         "vm-1",
			Requests:       3,
			UnreadTokens:   1400,
			SinceLastByte:  time.Millisecond,
			ResponseDueFor: time.Second,
		},
	}
	rates := []demand.Rate{
		{
			Service: "engines",
			Model:   "large",
			VMs:     2.5,
		},
	}
	sum := &loadview.Sum{
		Daemons: 2,
		Loads:   loads,
		Demand:  rates,
	}
	return gossipMessage{
		Load: loadview.Announcement{
			Instance: 7,
			Sequence: 8,
			Loads:    loads,
			Demand:   rates,
		},
		ZoneLoad:         sum,
		SiteLoad:         sum,
		IncludedSequence: 6,
		Crashes: []quarantine.Crash{
			{
				Fingerprint: "0011",
				Event:       "vm-1/5",
				Age:         time.Second,
			},
		},
		Stopping: []serverregistry.Process{
			{
				ID:        "vm-2",
				StartTime: 9,
			},
		},
		Rejections: []rejections.Mark{
			10,
		},
		CopyState: storefeed.CopyState{
			Current:   true,
			Revisions: []uint64{11, 12},
			SentAt: storefeed.ProcessTime{
				Instance: 7,
				Elapsed:  time.Minute,
			},
		},
		Update: storefeed.Update{
			Echo: storefeed.ProcessTime{
				Instance: 13,
				Elapsed:  time.Hour,
			},
			HeldFor: time.Millisecond,
			Batches: []storesync.Batch{
				{
					Kind:     "servers",
					Since:    14,
					Revision: 15,
					Age:      time.Second,
					Packed:   []byte{1, 2, 3},
				},
			},
		},
		LeaseVersion: 4,
		SinceRenewal: time.Second,
	}
}

// exampleObjects returns the values of stored objects with every field set, by kind.
func exampleObjects() map[string]any {
	return map[string]any{
		objects.KindDaemon: daemonRecord{
			AvailabilityZone: "zone-a",
			Address:          "10.0.0.1:7000",
		},
		objects.KindSecret: sharedKey{
			Key: []byte("a shared key of thirty-two bytes"),
		},
		objects.KindLease: lease.Record{
			Holder:   "entry-1",
			Instance: "one",
			Epoch:    16,
			Duration: 3 * time.Second,
			Renewal:  22,
		},
		objects.KindAllocation: group.Allocation{
			FabricDomain:     "fabric-a",
			AvailabilityZone: "zone-a",
			Counter:          17,
			Groups: []group.Group{
				{
					Name:     "large-0/0",
					Model:    "large",
					Version:  "1",
					Adapters: []string{"none"},
					Fencing:  18,
					Members: []group.Member{
						{
							VM:      "vm-1",
							Address: "10.0.0.2:8000",
						},
					},
					ColdLimit: 19,
					WarmLimit: 20,
					Draining:  true,
				},
			},
			Released: []group.ReleasedVM{
				{
					VM:      "vm-2",
					Counter: 21,
				},
			},
			Unmet: []group.UnmetGroup{
				{
					Group:  "large-1/0",
					Reason: "no spare VMs",
				},
			},
			Writer: "writer",
		},
	}
}

// exampleCrashes returns a message on crashes in which every field is set.
func exampleCrashes() crashMessage {
	return crashMessage{
		Crashes: []promptcrash.Crash{
			exampleCrash(),
		},
		Survivals: []promptcrash.Survival{
			{
				Model: "large",
				Parts: []string{"c"},
				Age:   time.Millisecond,
			},
		},
		Blocked: []promptcrash.Combination{
			exampleCombination(),
		},
	}
}

func exampleCrash() promptcrash.Crash {
	return promptcrash.Crash{
		Model:   "large",
		Parts:   []string{"a", "b"},
		Request: "0011",
		Event:   "vm-1/5",
		Age:     time.Second,
		SentAge: 2 * time.Second,
	}
}

func exampleCombination() promptcrash.Combination {
	return promptcrash.Combination{
		Model: "large",
		Parts: []string{"a"},
		Age:   time.Minute,
	}
}

// exampleBlocked returns the stored quarantine with every field set.
func exampleBlocked() blockedRecord {
	return blockedRecord{
		SavedAt: 23,
		Combinations: []promptcrash.Combination{
			exampleCombination(),
		},
		Requests: []quarantine.Crash{
			{
				Fingerprint: "0011",
				Event:       "vm-1/5",
				Age:         time.Second,
			},
		},
		Crashes: []promptcrash.Crash{
			exampleCrash(),
		},
	}
}
