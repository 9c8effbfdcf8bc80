package entry

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// TestOrderConnectionTimesOut guards against an order that the kernel delivers long after its deadline.
// This happens if a network partition ends while the process that sent the order is paused.
func TestOrderConnectionTimesOut(tst *testing.T) {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tst, err, qt.IsNil)
	defer lst.Close()
	con, err := orderDialer(2*time.Second).DialContext(tst.Context(), "tcp", lst.Addr().String())
	qt.Assert(tst, err, qt.IsNil)
	defer con.Close()
	raw, err := con.(*net.TCPConn).SyscallConn()
	qt.Assert(tst, err, qt.IsNil)
	var got int
	var failed error
	err = raw.Control(func(dsc uintptr) { got, failed = unix.GetsockoptInt(int(dsc), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, failed, qt.IsNil)
	qt.Assert(tst, got, qt.Equals, 2000)
}
