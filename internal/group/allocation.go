package group

// Allocation holds the groups of one fabric domain. It is stored in the platform under the domain's name.
type Allocation struct {
	FabricDomain     string
	AvailabilityZone string
	// Counter grows by at least one with every write. The Fencing of groups is taken from it.
	Counter uint64
	Groups  []Group
	// Released holds VMs that left a group. A late order may still reach them, so each controller waits for a delay
	// before it assigns them again. The delay starts when the controller first sees the entry and is measured with its own
	// monotonic clock; a timestamp in the entry would compare the clocks of two controllers.
	Released []ReleasedVM
	// Unmet holds the desired groups that cannot be formed or repaired or that have a leaving member, sorted by name.
	// Only the first domain (by name) of a planned View has entries: the zone's first one if the whole zone is planned
	// at once, each domain if the domains are planned separately.
	Unmet []UnmetGroup
	// Writer is a token of the last writer. If the response to a write is lost, the writer reads it to find out whether
	// the write succeeded.
	Writer string
	// Version is the version of the stored object that this copy was read from, 0 if there was none.
	Version uint64 `json:"-"`
}

// Group is one replica of a model: its members in the order of their ranks.
type Group struct {
	// Name is the name of the group in the document and the number of the replica, such as "recipes-a/0".
	Name     string
	Model    string
	Version  string
	Adapters []string
	// Fencing is the fencing token: the allocation's Counter at the last change of the members, model or adapters.
	Fencing   uint64
	Members   []Member
	ColdLimit int
	WarmLimit int
	// Draining is set while the group accepts no new requests. It is changed or dissolved once it has none in flight.
	Draining bool
}

// Member is a VM of a group and the address of its engine.
type Member struct {
	VM      string
	Address string
}

// ReleasedVM is a VM that left a group. Counter is the allocation's Counter after that write.
type ReleasedVM struct {
	VM      string
	Counter uint64
}

// UnmetGroup is a desired group that Unmet reports, and the reason.
type UnmetGroup struct {
	Group  string
	Reason string
}
