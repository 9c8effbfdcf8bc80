package objects

import "context"

// MaxValueSize is the largest value in bytes that the platform holds.
const MaxValueSize = 1 << 20

// Kinds of objects that the system keeps in the platform.
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
)

// Object is one stored value with its version, a store-wide revision that only grows.
type Object struct {
	Kind    string
	Name    string
	Version uint64
	Deleted bool
	Value   []byte
}

// Role tells what a VM is for.
type Role string

// Roles of VMs in the platform's list.
const (
	RoleEntry   Role = "Entry"
	RoleEngine  Role = "Engine"
	RoleService Role = "Service"
)

// VMState is the state of a VM as the platform's lagging list gives it.
type VMState string

// States of VMs in the platform's list.
const (
	VMLive    VMState = "Live"
	VMLeaving VMState = "Leaving"
)

// VM is an entry of the platform's list of machines.
type VM struct {
	Name             string
	AvailabilityZone string
	FabricDomain     string
	Role             Role
	// Address is IP:port of the VM's main interface: the engine's, the service's, or an entry VM's peer listener.
	Address string
	State   VMState
	// Service names the plain service for RoleService.
	Service      string
	Accelerators int
}

// Store is the set of calls on the platform, as function fields so that tests can replace each one.
type Store struct {
	Get func(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the store's revision at that moment.
	List func(ctx context.Context, kind string) ([]Object, uint64, error)
	// GetStale and ListStale are Get and List whose answers may be seconds old, on platforms where they cost less.
	GetStale  func(ctx context.Context, kind, name string) (Object, error)
	ListStale func(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes value if the version is still expected; expected 0 creates. It returns the new version.
	Put func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is still expected.
	Delete func(ctx context.Context, kind, name string, expected uint64) error
	// Watch waits for changes of a kind after revision since and returns them with the new revision;
	// after the platform's own wait time it returns none. Where the platform lets the caller choose, a deadline of
	// ctx shortens that time.
	Watch func(ctx context.Context, kind string, since uint64) ([]Object, uint64, error)
	VMs   func(ctx context.Context) ([]VM, error)
}
