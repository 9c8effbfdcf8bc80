package formation

// Verb is what an order asks for.
type Verb string

// Verbs of orders.
const (
	Join  Verb = "Join"
	Open  Verb = "Open"
	Close Verb = "Close"
	Leave Verb = "Leave"
	Stage Verb = "Stage"
)

// Order is an order to one engine.
type Order struct {
	Verb    Verb
	Server  string
	Address string
	Group   string
	Epoch   uint64
	Model   string
	// Members are the IDs of a group's VMs by rank.
	Members []string
	// Finish lets a closing group complete what it has; without it the work is cut off.
	Finish bool
}

// equivalent reports whether two orders ask the same of an engine.
func (ord *Order) equivalent(oth *Order) bool {
	return ord.Verb == oth.Verb && ord.Group == oth.Group && ord.Epoch == oth.Epoch && ord.Model == oth.Model && ord.Finish == oth.Finish
}
