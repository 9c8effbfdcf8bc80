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
	lowestPort    = 10000
	portBlockSize = 500
	portBlocks    = 44
)

// portAllocator gives out the ports of blocks that belong to this process: it listens on the first port of each as
// long as it runs, so that two test processes never choose the same port at the same time.
type portAllocator struct {
	mu             sync.Mutex
	blockListeners []net.Listener
	nextPort       int
	blockEnd       int
}

var processPorts portAllocator

// allocate returns a port that no other test process gives out.
func (prt *portAllocator) allocate() (int, error) {
	prt.mu.Lock()
	defer prt.mu.Unlock()
	if prt.nextPort == prt.blockEnd {
		if err := prt.reserveBlock(); err != nil {
			return 0, errors.Trace(err)
		}
	}
	prt.nextPort++
	return prt.nextPort - 1, nil
}

func (prt *portAllocator) reserveBlock() error {
	for _, blk := range rand.Perm(portBlocks) {
		first := lowestPort + blk*portBlockSize
		lst, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		prt.blockListeners = append(prt.blockListeners, lst)
		prt.nextPort = first + 1
		prt.blockEnd = first + portBlockSize
		return nil
	}
	return errors.New("every block of ports is taken")
}

// freeAddresses returns addresses that nothing listens on now.
func freeAddresses(ip netip.Addr, num int) ([]string, error) {
	var adrs []string
	for range 100 * num {
		port, err := processPorts.allocate()
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
