package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT: the kernel closes the connection
// with an error when sent bytes are not acknowledged within timeout. This detects a VM that has lost power or is
// behind a network partition, because such a VM does not send a reset.
func UserTimeout(timeout time.Duration) func(network, adr string, con syscall.RawConn) error {
	return func(_, _ string, con syscall.RawConn) error {
		var optErr error
		err := con.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// Buffers returns a Control function for net.ListenConfig that sets the size in bytes of the kernel's buffers of each connection, for
// received data and for data to be sent. Without it, the kernel grows them to several megabytes.
func Buffers(size int) func(network, adr string, con syscall.RawConn) error {
	return func(_, _ string, con syscall.RawConn) error {
		var optErr error
		err := con.Control(func(fd uintptr) {
			for _, opt := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
				if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, opt, size); err != nil {
					optErr = err
				}
			}
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// Unread returns the number of bytes that the kernel has received on a connection and the process has not read.
func Unread(con syscall.RawConn) (int, error) {
	num := 0
	var optErr error
	err := con.Control(func(fd uintptr) { num, optErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err != nil {
		return 0, err
	}
	return num, optErr
}
