package queue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/permit"
	"github.com/cumintally/cumintally/internal/permit/queue"
)

var start = time.Unix(1000, 0)

// newQueue returns a queue with a grant of the given number of slots, valid for one second.
func newQueue(slots int, cold bool) *queue.Queue {
	que := queue.New(queue.Config{
		MaxWaiting:          4,
		SpareSlots:          2,
		KeepSpareFor:        time.Second,
		FirstTokenObjective: time.Second,
	})
	que.RecordReport(queue.Report{Fencing: 1, Incarnation: 7, Cold: cold, AsOf: start})
	que.ApplyGrant(&permit.Grant{Slots: slots, Incarnation: 7, Cold: cold, ValidFor: time.Second}, start, start)
	return que
}

func enter(t *testing.T, que *queue.Queue, workspace string, share, priority int, within time.Duration) *queue.Ticket {
	t.Helper()
	tkt := &queue.Ticket{
		Workspace: workspace,
		Share:     share,
		Priority:  priority,
		Deadline:  start.Add(within),
	}
	_, err := que.Enqueue(tkt, start)
	qt.Assert(t, err, qt.IsNil)
	return tkt
}

func ready(tkt *queue.Ticket) bool {
	select {
	case <-tkt.Ready:
		return true
	default:
		return false
	}
}

// TestOrder guards against a slot that is given to a request of lower priority, of a workspace that has used
// more than its share, or with a later deadline.
func TestOrder(t *testing.T) {
	que := newQueue(1, false)
	running := enter(t, que, "polishing", 1, 5, time.Minute)
	qt.Assert(t, ready(running), qt.IsTrue)
	low := enter(t, que, "visitors", 1, 1, time.Second)
	late := enter(t, que, "polishing", 1, 5, time.Minute)
	other := enter(t, que, "inspection", 1, 5, time.Hour)
	early := enter(t, que, "polishing", 1, 5, time.Second)
	_, err := que.Enqueue(&queue.Ticket{Workspace: "polishing", Deadline: start.Add(time.Hour)}, start)
	qt.Assert(t, errors.Is(err, queue.ErrFull), qt.IsTrue)
	for _, next := range []*queue.Ticket{other, early, late, low} {
		qt.Assert(t, ready(next), qt.IsFalse)
		que.Release(running, start)
		qt.Assert(t, ready(next), qt.IsTrue)
		running = next
	}
}

// TestLate guards against a request that is queued although it cannot start before its deadline.
func TestLate(t *testing.T) {
	que := newQueue(1, false)
	now := start
	tkt := enter(t, que, "polishing", 1, 0, time.Minute)
	for range 40 {
		rep := queue.Report{Fencing: 1, Incarnation: 7, AsOf: now}
		que.ApplyGrant(&permit.Grant{Slots: 1, Incarnation: 7, ValidFor: time.Second}, now, now)
		qt.Assert(t, que.MarkSent(tkt, rep, now), qt.IsNil)
		now = now.Add(500 * time.Millisecond)
		que.Release(tkt, now)
		tkt = &queue.Ticket{Workspace: "polishing", Deadline: now.Add(time.Minute)}
		_, err := que.Enqueue(tkt, now)
		qt.Assert(t, err, qt.IsNil)
	}
	wait, err := que.Enqueue(&queue.Ticket{Workspace: "polishing", Deadline: now.Add(100 * time.Millisecond)}, now)
	qt.Assert(t, errors.Is(err, queue.ErrDeadline), qt.IsTrue)
	qt.Assert(t, wait > 300*time.Millisecond && wait <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
}

// TestLostSlot guards against sending a request whose slot was lost after its admission.
func TestLostSlot(t *testing.T) {
	for name, tst := range map[string]struct {
		sight queue.Report
		after time.Duration
	}{
		"expired":     {queue.Report{Fencing: 1, Incarnation: 7, AsOf: start}, time.Second},
		"restarted":   {queue.Report{Fencing: 1, Incarnation: 8, AsOf: start.Add(1)}, 0},
		"turned cold": {queue.Report{Fencing: 1, Incarnation: 7, Cold: true, AsOf: start.Add(1)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			que := newQueue(4, false)
			tkt := enter(t, que, "polishing", 1, 0, time.Minute)
			qt.Assert(t, ready(tkt), qt.IsTrue)
			err := que.MarkSent(tkt, tst.sight, start.Add(tst.after))
			qt.Assert(t, errors.Is(err, queue.ErrSlotLost), qt.IsTrue)
		})
	}
}

// TestReportsEmptyQueue guards against a queue that becomes empty without a report to the owner, which would
// keep slots for requests that no longer wait.
func TestReportsEmptyQueue(t *testing.T) {
	que := newQueue(0, true)
	tkt := enter(t, que, "polishing", 1, 0, time.Minute)
	req, due := que.NextSlotRequest("recipes-1/0", start)
	qt.Assert(t, due, qt.IsTrue)
	qt.Assert(t, req.Demand, qt.HasLen, 1)
	que.ApplyGrant(&permit.Grant{Incarnation: 7, Cold: true, ValidFor: time.Second}, start, start)
	que.Release(tkt, start)
	req, due = que.NextSlotRequest("recipes-1/0", start)
	qt.Assert(t, due, qt.IsTrue)
	qt.Assert(t, req.Demand, qt.HasLen, 0)
	que.ApplyGrant(&permit.Grant{Incarnation: 7, Cold: true, ValidFor: time.Second}, start, start)
	_, due = que.NextSlotRequest("recipes-1/0", start)
	qt.Assert(t, due, qt.IsFalse)
}

// TestReturnsUnusableSlots guards against slots that are not released although a cold report made them invalid.
func TestReturnsUnusableSlots(t *testing.T) {
	que := newQueue(2, false)
	que.RecordReport(queue.Report{Fencing: 1, Incarnation: 7, Cold: true, AsOf: start.Add(1)})
	req, due := que.NextSlotRequest("recipes-1/0", start)
	qt.Assert(t, due, qt.IsTrue)
	qt.Assert(t, req.HeldSlots, qt.Equals, 0)
}
