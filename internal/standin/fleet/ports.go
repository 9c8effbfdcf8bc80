package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// Listening ports lie below the range of ephemeral ports, from which the kernel takes the ports of outgoing
// connections. Otherwise the kernel could take a port after it was chosen here and before a process listens on it.
const (
	lowestPort    = 10000
	portBlockSize = 500
	portBlocks    = 44
)

// portAllocator allocates ports from blocks that this process has reserved. It reserves a block by listening on the
// block's first port as long as the process runs, so that two test processes never allocate the same port at the
// same time.
type portAllocator struct {
	mu             sync.Mutex
	blockListeners []net.Listener
	nextPort       int
	blockEnd       int
}

var processPorts portAllocator

// allocate returns a port that no other test process allocates, and reserves another block if necessary.
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

// reserveBlock reserves a random block that is not reserved yet; the caller holds mu.
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
	return errors.New("no port block can be reserved: the first port of every block is in use")
}

// freeAddresses returns num addresses on which no process listens at the time of the call.
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
	return nil, errors.New("too few of the tried listening ports are free")
}
