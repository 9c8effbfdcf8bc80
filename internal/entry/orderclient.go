package entry

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cumintally/cumintally/internal/backend"
)

// newOrderClient returns a client for orders. While this process is paused it cannot close a connection at
// an order's deadline, and the kernel would go on to send what is buffered for minutes. So each order has a
// connection of its own, on which the kernel gives up after timeout. An order then reaches its VM at most
// one timeout after its deadline, which is within the delay of released VMs.
func newOrderClient(timeout time.Duration) *backend.Client {
	return backend.New(&http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       orderDialer(timeout).DialContext,
		},
	})
}

func orderDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, con syscall.RawConn) error {
			var failed error
			err := con.Control(func(dsc uintptr) {
				failed = unix.SetsockoptInt(int(dsc), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
