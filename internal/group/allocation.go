package group

// Allocation is the state of one fabric domain; its object in the platform has the domain's name.
type Allocation struct {
	FabricDomain     string
	AvailabilityZone string
	// Counter grows by at least one with every write; a group's Fencing is taken from it.
	Counter uint64
	Groups  []Group
	// Released are VMs that left a group. A late order may still reach them, so each controller waits
	// for a delay, on its own monotonic clock and from when it first saw the entry, before it assigns
	// one again. A time in the entry would compare the clocks of two controllers.
	Released []ReleasedVM
	// Unmet says why groups that the document asks for are not allocated here, by the group's name.
	Unmet []UnmetGroup
	// Writer is a token of the last writer, read back when the answer to a write was lost.
	Writer string
	// Version is the platform's version of the object that this copy was read from, 0 if there was none.
	Version uint64 `json:"-"`
}

// Group is one replica: its members in the order of their ranks.
type Group struct {
	// Name is the document's group and the replica's number, such as "recipes-a/0".
	Name     string
	Model    string
	Version  string
	Adapters []string
	// Fencing is the allocation's Counter at the last change of the members, model or adapters.
	Fencing   uint64
	Members   []Member
	ColdLimit int
	WarmLimit int
	// Draining says that the group takes no new work; it is changed or dissolved once it is empty.
	Draining bool
}

// Member is a VM of a group with the address of its engine.
type Member struct {
	VM      string
	Address string
}

// ReleasedVM is a VM that left a group with the write that made the allocation's counter Counter.
type ReleasedVM struct {
	VM      string
	Counter uint64
}

// UnmetGroup says why a group is not allocated.
type UnmetGroup struct {
	Group  string
	Reason string
}
