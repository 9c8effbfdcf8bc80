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

// dialTimeout bounds the time to connect if the context has no earlier deadline.
const dialTimeout = 10 * time.Second

// dialFunc opens an outgoing connection of the daemon.
type dialFunc func(ctx context.Context, network, adr string) (net.Conn, error)

// newDial returns a dial function that binds connections to the daemon's own address. On a VM with several
// interfaces the kernel would otherwise choose the source address by route, and packet filters that
// identify the daemon by its address would not match.
func newDial(set *settings.Settings) dialFunc {
	source := sourceAddress(set.Listen)
	return func(ctx context.Context, network, adr string) (net.Conn, error) {
		dlr := net.Dialer{
			Timeout: dialTimeout,
		}
		if target, err := netip.ParseAddrPort(adr); err == nil && canReach(source, target.Addr()) {
			dlr.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
			dlr.Control = bindWithoutPort
		}
		return dlr.DialContext(ctx, network, adr)
	}
}

// sourceAddress returns the source address of outgoing connections: Source, else the address of Peers. It
// returns an invalid address if Source is not set and the daemon listens for peers on all interfaces.
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

// canReach reports whether the kernel allows a connection from source to target. It does not between
// address families, nor from a loopback address to an address that is not loopback.
func canReach(source, target netip.Addr) bool {
	target = target.Unmap()
	return source.IsValid() && source.Is4() == target.Is4() && (!source.IsLoopback() || target.IsLoopback())
}

// bindWithoutPort lets the kernel choose the source port at connect instead of at bind. A port that is
// chosen at bind cannot be shared by connections to different targets, so a busy daemon would run out of
// ports.
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
