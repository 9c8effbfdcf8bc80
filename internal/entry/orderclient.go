package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/socket"
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
		Control: socket.GiveUpAfter(timeout),
	}
}
