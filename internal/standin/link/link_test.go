package link_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/link"
)

var (
	near = netip.MustParseAddr("127.0.1.1")
	far  = netip.MustParseAddr("127.0.2.1")
)

// dropCheckTime is the time for which no byte may pass a cut of kind Drop.
const dropCheckTime = 100 * time.Millisecond

// client is one end of a connection whose other end echoes each line; con is nil if the dial was reset.
type client struct {
	con net.Conn
	rdr *bufio.Reader
}

// newRelays starts a server that echoes lines and a relay at far in front of it. It returns the relays and the address of
// the relay.
func newRelays(t *testing.T) (*link.Relays, string) {
	t.Helper()
	srv, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { srv.Close() })
	go func() {
		for {
			con, err := srv.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				for rdr := bufio.NewReader(con); ; {
					line, err := rdr.ReadString('\n')
					if err != nil {
						return
					}
					fmt.Fprint(con, line)
				}
			}()
		}
	}()
	free, err := net.Listen("tcp", far.String()+":0")
	qt.Assert(t, err, qt.IsNil)
	adr := free.Addr().String()
	free.Close()
	lks := link.New()
	t.Cleanup(lks.Close)
	qt.Assert(t, lks.Open(link.Relay{
		Listen: netip.MustParseAddrPort(adr),
		Target: netip.MustParseAddrPort(srv.Addr().String()),
	}), qt.IsNil)
	return lks, adr
}

func connect(t *testing.T, source netip.Addr, adr string) *client {
	t.Helper()
	dlr := net.Dialer{
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0)),
	}
	con, err := dlr.Dial("tcp", adr)
	if errors.Is(err, syscall.ECONNRESET) {
		return &client{}
	}
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { con.Close() })
	return &client{
		con: con,
		rdr: bufio.NewReader(con),
	}
}

// write sends a line. It ignores errors, because the read of the echo shows whether the line was lost.
func (cli *client) write(line string) {
	if cli.con != nil {
		_, _ = fmt.Fprintln(cli.con, line)
	}
}

// read returns "line" if a line arrives in time, "nothing" if none does, and "reset" if the connection is broken.
func (cli *client) read(within time.Duration) string {
	if cli.con == nil {
		return "reset"
	}
	_ = cli.con.SetReadDeadline(time.Now().Add(within))
	_, err := cli.rdr.ReadString('\n')
	var ner net.Error
	switch {
	case err == nil:
		return "line"
	case errors.As(err, &ner) && ner.Timeout():
		return "nothing"
	default:
		return "reset"
	}
}

// TestCuts guards against a cut that lets data pass, that affects connections between other addresses, or that does not
// end. It checks connections that are opened before, during and after the cut.
func TestCuts(t *testing.T) {
	for _, cse := range []struct {
		name   string
		from   netip.Addr
		to     netip.Addr
		kind   link.Kind
		oneWay bool
		open   string
		fresh  string
		healed string
	}{
		{"refuse", near, far, link.Refuse, false, "reset", "reset", "reset"},
		{"refuse the other way round", far, near, link.Refuse, false, "reset", "reset", "reset"},
		{"drop", near, far, link.Drop, false, "nothing", "nothing", "line"},
		{"drop what is sent", near, far, link.Drop, true, "nothing", "nothing", "line"},
		{"drop what comes back", far, near, link.Drop, true, "nothing", "nothing", "line"},
		{"others", netip.MustParseAddr("127.0.3.1"), far, link.Drop, false, "line", "line", ""},
	} {
		t.Run(cse.name, func(t *testing.T) {
			c := qt.New(t)
			lks, adr := newRelays(t)
			cli := connect(t, near, adr)
			cli.write("before")
			c.Assert(cli.read(time.Second), qt.Equals, "line")
			lks.Set(link.Faults{
				Cuts: []link.Cut{{
					From:   netip.PrefixFrom(cse.from, 32),
					To:     netip.PrefixFrom(cse.to, 32),
					Kind:   cse.kind,
					OneWay: cse.oneWay,
				}},
			})
			fresh := connect(t, near, adr)
			cli.write("during")
			fresh.write("during")
			c.Check(cli.read(dropCheckTime), qt.Equals, cse.open)
			c.Check(fresh.read(dropCheckTime), qt.Equals, cse.fresh)
			lks.Set(link.Faults{})
			if cse.healed != "" {
				c.Check(cli.read(time.Second), qt.Equals, cse.healed)
			}
			last := connect(t, near, adr)
			last.write("after")
			c.Check(last.read(time.Second), qt.Equals, "line")
		})
	}
}

// Guards against an open connection that outlives a cut of kind Refuse which is short or begins on a busy machine.
func TestShortRefuseResetsOpenConnections(t *testing.T) {
	lks, adr := newRelays(t)
	for range 20 {
		cli := connect(t, near, adr)
		cli.write("before")
		qt.Assert(t, cli.read(time.Second), qt.Equals, "line")
		lks.Set(link.Faults{
			Cuts: []link.Cut{
				{
					From: netip.PrefixFrom(near, 32),
					To:   netip.PrefixFrom(far, 32),
					Kind: link.Refuse,
				},
			},
		})
		lks.Set(link.Faults{})
		qt.Assert(t, cli.read(time.Second), qt.Equals, "reset")
	}
}

// Guards against a silent connection on which data or a close still arrives, and against new connections that are silent as well.
func TestSilenceOpen(t *testing.T) {
	rls, adr := newRelays(t)
	old, err := net.Dial("tcp", adr)
	qt.Assert(t, err, qt.IsNil)
	defer old.Close()
	rdr := bufio.NewReader(old)
	fmt.Fprintln(old, "before")
	line, err := rdr.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line, qt.Equals, "before\n")
	rls.SilenceOpen(netip.PrefixFrom(far, 32))
	fmt.Fprintln(old, "after")
	_ = old.SetReadDeadline(time.Now().Add(dropCheckTime))
	_, err = rdr.ReadString('\n')
	qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	fresh, err := net.Dial("tcp", adr)
	qt.Assert(t, err, qt.IsNil)
	defer fresh.Close()
	fmt.Fprintln(fresh, "new")
	line, err = bufio.NewReader(fresh).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line, qt.Equals, "new\n")
}
