package entry

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cumintally/cumintally/internal/settings"
)

// dialTimeout bounds the time to connect where the caller's context sets no earlier end.
const dialTimeout = 10 * time.Second

// dial opens the daemon's outgoing connections.
type dial func(ctx context.Context, network, adr string) (net.Conn, error)

// newDial returns a dial function whose connections leave from the daemon's own address. On a VM with
// several interfaces the kernel would otherwise choose one by route, and filters that know the daemon by
// its address would not match.
func newDial(set *settings.Settings) dial {
	source := sourceAddress(set.Listen)
	return func(ctx context.Context, network, adr string) (net.Conn, error) {
		dlr := net.Dialer{
			Timeout: dialTimeout,
		}
		if target, err := netip.ParseAddrPort(adr); err == nil && mayLeaveFrom(source, target.Addr()) {
			dlr.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
			dlr.Control = bindWithoutPort
		}
		return dlr.DialContext(ctx, network, adr)
	}
}

// sourceAddress returns an invalid address if the daemon listens on all interfaces.
func sourceAddress(lst settings.Listen) netip.Addr {
	if lst.Source != "" {
		adr, _ := netip.ParseAddr(lst.Source)
		return adr.Unmap()
	}
	adp, err := netip.ParseAddrPort(lst.Peers)
	if err != nil || adp.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return adp.Addr().Unmap()
}

// mayLeaveFrom is false where the kernel would refuse the connection: between families, and from the
// loopback interface to another.
func mayLeaveFrom(source, target netip.Addr) bool {
	target = target.Unmap()
	return source.IsValid() && source.Is4() == target.Is4() && (!source.IsLoopback() || target.IsLoopback())
}

// bindWithoutPort lets the kernel choose the port when it connects. A port chosen at bind is taken for
// all targets together, so that the ports of a busy daemon would run out.
func bindWithoutPort(_, _ string, con syscall.RawConn) error {
	var set error
	err := con.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	if err != nil {
		return err
	}
	return set
}
