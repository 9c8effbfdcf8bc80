package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/socket"
)

// newOrderClient returns a client for orders to engines. While this process is paused it cannot close a
// connection at the deadline of an order, and the kernel would retransmit the buffered order for minutes.
// So each order has a connection of its own, which the kernel closes if data stays unacknowledged for
// timeout. An order then reaches its VM at most one timeout after its deadline, which is shorter than the
// delay before a released VM is used again.
func newOrderClient(timeout time.Duration) *backend.Client {
	return backend.New(&http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       orderDialer(timeout).DialContext,

			MaxResponseHeaderBytes: backend.MaxHeadSize,
		},
	})
}

func orderDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: socket.UserTimeout(timeout),
	}
}
