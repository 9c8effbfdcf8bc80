package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// GiveUpAfter returns a Control function for net.Dialer with which the kernel gives a connection up once bytes have
// not been acknowledged for timeout: a VM without power or behind a partition does not answer at all.
func GiveUpAfter(timeout time.Duration) func(network, adr string, con syscall.RawConn) error {
	return func(_, _ string, con syscall.RawConn) error {
		var failed error
		err := con.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
