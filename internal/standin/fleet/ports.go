package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// Ports of the processes lie below the range from which the kernel takes ports of outgoing connections,
// which would otherwise take one between its choice and its use.
const (
	lowestPort = 10000
	blockSize  = 500
	blocks     = 44
)

// ports gives out the ports of blocks that belong to this process: it listens on the first port of each as
// long as it runs, so that two test processes never choose the same port at the same time.
type ports struct {
	mu    sync.Mutex
	locks []net.Listener
	next  int
	end   int
}

var ownPorts ports

// take returns a port that no other test process gives out.
func (prt *ports) take() (int, error) {
	prt.mu.Lock()
	defer prt.mu.Unlock()
	if prt.next == prt.end {
		if err := prt.takeBlock(); err != nil {
			return 0, errors.Trace(err)
		}
	}
	prt.next++
	return prt.next - 1, nil
}

func (prt *ports) takeBlock() error {
	for _, blk := range rand.Perm(blocks) {
		first := lowestPort + blk*blockSize
		lst, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		prt.locks = append(prt.locks, lst)
		prt.next = first + 1
		prt.end = first + blockSize
		return nil
	}
	return errors.New("every block of ports is taken")
}

// freeAddresses returns addresses that nothing listens on now.
func freeAddresses(ip netip.Addr, num int) ([]string, error) {
	var adrs []string
	for range 100 * num {
		port, err := ownPorts.take()
		if err != nil {
			return nil, errors.Trace(err)
		}
		lst, err := net.Listen("tcp", fmt.Sprintf("%v:%d", ip, port))
		if err != nil {
			continue
		}
		lst.Close()
		adrs = append(adrs, lst.Addr().String())
		if len(adrs) == num {
			return adrs, nil
		}
	}
	return nil, errors.New("no free ports")
}
