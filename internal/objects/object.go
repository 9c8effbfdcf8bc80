package objects

import "context"

// MaxValueSize is the maximum size in bytes of a value that the platform stores.
const MaxValueSize = 1 << 20

// Kinds of objects that the system stores in the platform.
const (
	KindDocument   = "Document"
	KindPart       = "Part"
	KindTrial      = "Trial"
	KindZone       = "Zone"
	KindAllocation = "Allocation"
	KindLease      = "Lease"
	KindBucket     = "Bucket"
	KindDaemon     = "Daemon"
	KindSecret     = "Secret"
	KindQuarantine = "Quarantine"
)

// Object is one stored value. Version is the store-wide version of its last write; versions only increase, also when the
// store is restored from a copy (see VersionIn).
type Object struct {
	Kind    string
	Name    string
	Version uint64
	Deleted bool
	Value   []byte
}

// Role is the purpose of a VM.
type Role string

// Roles of VMs in the platform's list.
const (
	RoleEntry   Role = "Entry"
	RoleEngine  Role = "Engine"
	RoleService Role = "Service"
)

// VMState is the state of a VM in the platform's list, which lags behind.
type VMState string

// States of VMs in the platform's list.
const (
	VMLive    VMState = "Live"
	VMLeaving VMState = "Leaving"
)

// VM is an entry in the platform's list of VMs.
type VM struct {
	Name             string
	AvailabilityZone string
	FabricDomain     string
	Role             Role
	// Address is the IP:port of the VM's main listener: the engine's, the service's, or the peer listener of an
	// entry VM.
	Address string
	State   VMState
	// Service is the name of the service that a VM with RoleService runs.
	Service      string
	Accelerators int
}

// Store is the set of calls to the platform. They are function fields so that tests can replace each of them.
type Store struct {
	Get func(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the store's version at the time of the list.
	List func(ctx context.Context, kind string) ([]Object, uint64, error)
	// GetStale and ListStale are variants of Get and List that may return data that is seconds old. Some platforms
	// serve them at a lower cost; on the others they equal Get and List.
	GetStale  func(ctx context.Context, kind, name string) (Object, error)
	ListStale func(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes value if the object's version equals expected, and returns the new version. With expected 0 it
	// creates the object.
	Put func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error)
	// Delete deletes the object if its version equals expected.
	Delete func(ctx context.Context, kind, name string, expected uint64) error
	// Watch waits for changes to objects of a kind after version since and returns them with the new version. It
	// returns no changes if there are none within the platform's wait time. A deadline of ctx shortens that time if
	// the platform allows callers to choose it.
	Watch func(ctx context.Context, kind string, since uint64) ([]Object, uint64, error)
	// VMs returns the platform's list of VMs, which lags behind.
	VMs func(ctx context.Context) ([]VM, error)
	// Era returns the latest era that the store has reported to this process, counted from 0; nil on platforms whose
	// store loses nothing.
	Era func() uint64
}

// CurrentEra returns the latest era that the store has reported to this process.
func (sto *Store) CurrentEra() uint64 {
	if sto.Era == nil {
		return 0
	}
	return sto.Era()
}
