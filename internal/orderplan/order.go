package orderplan

// Verb is the action that an order asks for.
type Verb string

// Verbs of orders.
const (
	// Join makes a VM a member of a group and loads the group's model.
	Join Verb = "Join"
	// Open lets the head of a group accept requests.
	Open Verb = "Open"
	// Close stops the head of a group from accepting requests.
	Close Verb = "Close"
	// Leave takes a VM out of its group.
	Leave Verb = "Leave"
	// Stage loads weights onto the host of a VM.
	Stage Verb = "Stage"
)

// Order is an order to one engine.
type Order struct {
	Verb Verb
	// Server is the ID of the engine's VM and Address the address of the engine.
	Server  string
	Address string
	Group   string
	Epoch   uint64
	Model   string
	// Members are the IDs of a group's VMs by rank.
	Members []string
	// Finish lets a closing group complete its requests in flight; otherwise they are aborted.
	Finish bool
}

// equivalent reports whether two orders ask an engine for the same action.
func (ord *Order) equivalent(oth *Order) bool {
	return ord.Verb == oth.Verb && ord.Group == oth.Group && ord.Epoch == oth.Epoch && ord.Model == oth.Model && ord.Finish == oth.Finish
}
