package zone_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/zone"
)

var daemons = flag.Int("daemons", 12, "number of daemons")

// budget is the limit on the control traffic that a daemon sends, in bytes per second.
const budget = 3000

// daemon is a membership with its own listener in the test process.
type daemon struct {
	*zone.Membership
	mesh *peer.Mesh
	met  metrics.Registry
	lst  net.Listener
	srv  *http.Server
	stop context.CancelFunc
	done sync.WaitGroup
}

func newDaemon(c *qt.C, name, seed string) *daemon {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	met := metrics.NewRegistry()
	ide := peer.Identity{
		Name:             name,
		AvailabilityZone: "zone-1",
		Address:          lst.Addr().String(),
	}
	msh := peer.New(ide, []byte("key"), met, zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	dmn := &daemon{
		Membership: zone.New(msh, func() []string { return []string{seed} }, clockwork.NewRealClock(), zap.NewNop()),
		mesh:       msh,
		met:        met,
		lst:        lst,
		srv:        &http.Server{Handler: msh},
		stop:       stop,
	}
	go func() { _ = dmn.srv.Serve(lst) }()
	dmn.done.Go(func() { dmn.Run(ctx) })
	return dmn
}

// kill stops a daemon without notifying its peers.
func (dmn *daemon) kill() {
	dmn.stop()
	dmn.srv.Close()
	dmn.mesh.Close()
	dmn.done.Wait()
}

func (dmn *daemon) bytes() int64 {
	return metrics.GetOrRegisterCounter("PeerBytesSent", dmn.met).Count()
}

// waitAlive waits until each daemon sees num daemons alive and returns the time that this took.
func waitAlive(c *qt.C, dmns []*daemon, num int) time.Duration {
	begin := time.Now()
	for {
		agreed := 0
		for _, dmn := range dmns {
			if len(dmn.Alive()) == num {
				agreed++
			}
		}
		if agreed == len(dmns) {
			return time.Since(begin)
		}
		if time.Since(begin) > 20*time.Second {
			c.Fatalf("%d of %d daemons see %d daemons alive", agreed, len(dmns), num)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestMembership guards against a dead or leaving daemon that stays a member, a live one that is missing from
// the membership, and control traffic above the budget.
func TestMembership(t *testing.T) {
	c := qt.New(t)
	var dmns []*daemon
	seed := ""
	for idx := range *daemons {
		dmn := newDaemon(c, fmt.Sprintf("entry-%d", idx), seed)
		if seed == "" {
			seed = dmn.mesh.Self().Address
		}
		dmns = append(dmns, dmn)
	}
	defer func() {
		for _, dmn := range dmns {
			dmn.kill()
		}
	}()
	t.Logf("%d daemons have the full membership after %v", *daemons, waitAlive(c, dmns, *daemons))
	c.Assert(dmns[0].Owner("key"), qt.Equals, dmns[1].Owner("key"))

	time.Sleep(3 * time.Second)
	before := dmns[1].bytes()
	begin := time.Now()
	time.Sleep(2 * time.Second)
	rate := float64(dmns[1].bytes()-before) / time.Since(begin).Seconds()
	t.Logf("a daemon sends %.0f bytes/s", rate)
	c.Assert(rate < budget, qt.IsTrue)

	victim := dmns[len(dmns)-1]
	dmns = dmns[:len(dmns)-1]
	victim.kill()
	t.Logf("all daemons declare a killed daemon dead after %v", waitAlive(c, dmns, *daemons-1))
	c.Assert(dmns[0].KnownCount(), qt.Equals, *daemons)

	leaver := dmns[len(dmns)-1]
	leaver.Leave(context.Background())
	rest := dmns[:len(dmns)-1]
	t.Logf("no daemon counts a leaving daemon as alive after %v", waitAlive(c, rest, *daemons-2))
}
