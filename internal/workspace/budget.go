package workspace

import "sync"

const (
	// retryShare is the share of requests by which retries may add to the load of a group or workspace.
	retryShare = 0.2
	// groupReserve lets one daemon continue all its streams of a lost replica on one other: 32 is the
	// usual warm limit of a replica.
	groupReserve = 32
	// workspaceReserve allows for two lost replicas at once.
	workspaceReserve = 64
)

// budgets are balances of retries; each request adds a share and each retry takes one.
type budgets struct {
	mu       sync.Mutex
	reserve  float64
	balances map[string]float64
}

func newBudgets(reserve float64) *budgets {
	return &budgets{
		reserve:  reserve,
		balances: map[string]float64{},
	}
}

func (bud *budgets) balance(key string) float64 {
	if bal, ok := bud.balances[key]; ok {
		return bal
	}
	return bud.reserve
}

func (bud *budgets) add(key string, amount float64) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.balances[key] = min(bud.balance(key)+amount, bud.reserve)
}

func (bud *budgets) take(key string) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bal := bud.balance(key)
	if bal < 1 {
		return false
	}
	bud.balances[key] = bal - 1
	return true
}

// Sent counts the first send of a request of a workspace to a group.
func (reg *Registry) Sent(workspace, group string) {
	reg.byWorkspace.add(workspace, retryShare)
	reg.byGroup.add(group, retryShare)
}

// Retry takes one retry from the budgets of a workspace and a group; it reports whether both had one left.
func (reg *Registry) Retry(workspace, group string) bool {
	if !reg.byWorkspace.take(workspace) {
		return false
	}
	if reg.byGroup.take(group) {
		return true
	}
	reg.byWorkspace.add(workspace, 1)
	return false
}
