package workspace

import "sync"

const (
	// retryShare is the fraction of its requests by which retries may increase the load of a group or workspace.
	// Each request adds it to both budgets.
	retryShare = 0.2
	// groupCapacity is a number of retries. It lets one daemon continue all its streams of a lost replica on one
	// other replica: 32 is the usual warm limit of a replica.
	groupCapacity = 32
	// workspaceCapacity is a number of retries. It allows for the loss of two replicas at once.
	workspaceCapacity = 64
)

// retryBuckets is a set of token buckets for retries: each request adds retryShare tokens, each retry takes one.
type retryBuckets struct {
	mu       sync.Mutex
	capacity float64
	tokens   map[string]float64
}

func newRetryBuckets(capacity float64) *retryBuckets {
	return &retryBuckets{
		capacity: capacity,
		tokens:   map[string]float64{},
	}
}

func (bkt *retryBuckets) level(key string) float64 {
	if tokens, ok := bkt.tokens[key]; ok {
		return tokens
	}
	return bkt.capacity
}

func (bkt *retryBuckets) add(key string, amount float64) {
	bkt.mu.Lock()
	defer bkt.mu.Unlock()
	bkt.tokens[key] = min(bkt.level(key)+amount, bkt.capacity)
}

func (bkt *retryBuckets) take(key string) bool {
	bkt.mu.Lock()
	defer bkt.mu.Unlock()
	tokens := bkt.level(key)
	if tokens < 1 {
		return false
	}
	bkt.tokens[key] = tokens - 1
	return true
}

// RecordRequest records a send to a group that is no retry. It adds to the budgets of the workspace and of the group.
func (reg *Registry) RecordRequest(workspace, group string) {
	reg.byWorkspace.add(workspace, retryShare)
	reg.byGroup.add(group, retryShare)
}

// TakeRetry takes one retry from the budgets of a workspace and a group. It reports whether both had one left.
func (reg *Registry) TakeRetry(workspace, group string) bool {
	if !reg.byWorkspace.take(workspace) {
		return false
	}
	if reg.byGroup.take(group) {
		return true
	}
	reg.byWorkspace.add(workspace, 1)
	return false
}
