package link

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/standin/fault"
)

// Kind is the effect of a cut on connections.
type Kind string

// The kinds of cuts.
const (
	// Refuse resets new and open connections.
	Refuse Kind = "Refuse"
	// Drop holds back all data, including a close, and delivers it when the cut ends, as TCP does when it
	// retransmits. A connection that is opened during the cut is reset when the cut ends.
	Drop Kind = "Drop"
	// Delay delivers data later, after Cut.Wait.
	Delay Kind = "Delay"
)

// Cut is a network fault between the addresses of two IP prefixes.
type Cut struct {
	From netip.Prefix
	To   netip.Prefix
	Kind Kind
	// OneWay limits the cut to data that is sent from From to To.
	OneWay bool
	// Wait is the time by which a cut of kind Delay delays each read of up to 16 KiB.
	Wait time.Duration
}

// Faults holds all active cuts.
type Faults struct {
	Cuts []Cut
}

// Relay maps the address on which a relay listens to its target.
type Relay struct {
	Listen netip.AddrPort
	Target netip.AddrPort
}

// Relays runs the relays of a fleet and applies the cuts to their connections.
type Relays struct {
	faults *fault.Injector[Faults]

	mu          sync.Mutex
	changed     chan struct{}
	listeners   []net.Listener
	connections map[*connection]struct{}
}

// connection is an open connection between a client and the target of a relay.
type connection struct {
	src    netip.Addr
	dst    netip.Addr
	client *net.TCPConn
	server *net.TCPConn
	// silent is set once nothing that either end sends arrives any more.
	silent atomic.Bool
}

func (con *connection) reset() {
	reset(con.client)
	reset(con.server)
}

// endSilently ends a silent connection after one of its ends has closed it. A client must not see the close of its server.
func (con *connection) endSilently(closed *net.TCPConn) {
	if closed == con.client {
		_ = con.server.Close()
	}
}

// New returns an empty set of relays without cuts.
func New() *Relays {
	rls := &Relays{
		faults:      fault.New(Faults{}),
		changed:     make(chan struct{}),
		connections: map[*connection]struct{}{},
	}
	rls.faults.OnSet(func(Faults) {
		rls.mu.Lock()
		close(rls.changed)
		rls.changed = make(chan struct{})
		open := slices.Collect(maps.Keys(rls.connections))
		rls.mu.Unlock()
		for _, con := range open {
			rls.resetIfRefused(con)
		}
	})
	return rls
}

// Set replaces all cuts. Open connections that are refused have been reset when it returns.
func (rls *Relays) Set(flt Faults) {
	rls.faults.Set(flt)
}

// SilenceOpen makes the open connections to relays that listen in to silent for good: neither data nor a close arrives. New
// connections work.
func (rls *Relays) SilenceOpen(to netip.Prefix) {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	for con := range rls.connections {
		if to.Contains(con.dst) {
			con.silent.Store(true)
		}
	}
}

// Handler returns the HTTP control interface: GET and PUT /faults return and replace the cuts, PUT /relays opens a
// relay and responds with status 409 if its address cannot be listened on.
func (rls *Relays) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", rls.faults)
	rtr.Put("/relays", func(rsw http.ResponseWriter, req *http.Request) {
		var rel Relay
		if err := json.NewDecoder(req.Body).Decode(&rel); err != nil {
			http.Error(rsw, err.Error(), http.StatusBadRequest)
			return
		}
		if err := rls.Open(rel); err != nil {
			http.Error(rsw, err.Error(), http.StatusConflict)
		}
	})
	return rtr
}

// Open starts a relay. It returns an error if the relay cannot listen on its address.
func (rls *Relays) Open(rel Relay) error {
	lst, err := net.Listen("tcp", rel.Listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	rls.mu.Lock()
	rls.listeners = append(rls.listeners, lst)
	rls.mu.Unlock()
	go func() {
		for {
			con, err := lst.Accept()
			if err != nil {
				return
			}
			go rls.relayConnection(con.(*net.TCPConn), rel)
		}
	}()
	return nil
}

// Close stops all relays from accepting connections. Open connections last until client and target close them.
func (rls *Relays) Close() {
	rls.mu.Lock()
	defer rls.mu.Unlock()
	for _, lst := range rls.listeners {
		lst.Close()
	}
}

// activeCut returns the first cut that affects data sent from src to dst, or a Cut without a kind if there is none. It
// also returns a channel that is closed when the cuts change.
func (rls *Relays) activeCut(src, dst netip.Addr) (Cut, <-chan struct{}) {
	rls.mu.Lock()
	changed := rls.changed
	rls.mu.Unlock()
	for _, cut := range rls.faults.Get().Cuts {
		if (cut.From.Contains(src) && cut.To.Contains(dst)) || (!cut.OneWay && cut.From.Contains(dst) && cut.To.Contains(src)) {
			return cut, changed
		}
	}
	return Cut{}, changed
}

// connectionCut returns the kind of the cut that affects a connection as a whole, and a channel that is closed when the
// cuts change. A cut in either direction counts, because a TCP handshake fails if its packets are lost in one direction.
// If both directions are cut, the kind is that of the data from dst to src, unless the other one is Refuse.
func (rls *Relays) connectionCut(src, dst netip.Addr) (Kind, <-chan struct{}) {
	to, changed := rls.activeCut(src, dst)
	from, _ := rls.activeCut(dst, src)
	if to.Kind == Refuse || from.Kind == "" {
		return to.Kind, changed
	}
	return from.Kind, changed
}

// relayConnection forwards data between a client and the target until both have closed the connection.
func (rls *Relays) relayConnection(client *net.TCPConn, rel Relay) {
	src := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	dst := rel.Listen.Addr()
	if kind, changed := rls.connectionCut(src, dst); kind == Drop || kind == Refuse {
		for kind == Drop {
			<-changed
			kind, changed = rls.connectionCut(src, dst)
		}
		// The client may have timed out during the cut; what it sent must then not reach the target.
		reset(client)
		return
	}
	con, err := net.Dial("tcp", rel.Target.String())
	if err != nil {
		reset(client)
		return
	}
	opn := &connection{
		src:    src,
		dst:    dst,
		client: client,
		server: con.(*net.TCPConn),
	}
	rls.mu.Lock()
	rls.connections[opn] = struct{}{}
	rls.mu.Unlock()
	// The cuts may have changed since they were checked.
	rls.resetIfRefused(opn)
	var wgr sync.WaitGroup
	wgr.Go(func() { rls.forward(src, dst, opn, opn.client, opn.server) })
	wgr.Go(func() { rls.forward(dst, src, opn, opn.server, opn.client) })
	wgr.Wait()
	rls.mu.Lock()
	delete(rls.connections, opn)
	rls.mu.Unlock()
	_ = opn.client.Close()
	_ = opn.server.Close()
}

// resetIfRefused resets an open connection if a cut of kind Refuse affects it.
func (rls *Relays) resetIfRefused(con *connection) {
	if kind, _ := rls.connectionCut(con.src, con.dst); kind == Refuse {
		con.reset()
	}
}

// forward copies data from src to dst. It holds the data back during a cut of kind Drop and delays it during a cut of
// kind Delay. Data of a silent connection is lost.
func (rls *Relays) forward(src, dst netip.Addr, con *connection, from, to *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		num, err := from.Read(buf)
		cut, changed := rls.activeCut(src, dst)
		for ; cut.Kind == Drop; cut, changed = rls.activeCut(src, dst) {
			<-changed
		}
		if cut.Kind == Delay {
			time.Sleep(cut.Wait)
		}
		if num > 0 && !con.silent.Load() {
			if _, werr := to.Write(buf[:num]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && con.silent.Load() {
			con.endSilently(from)
			return
		}
		if err != nil {
			// A half close must arrive as a half close and a reset as a reset, so that an aborted response does not
			// look complete.
			propagateClose(to, err)
			return
		}
	}
}

// propagateClose half closes con if the other side of the relay ended with EOF, and otherwise resets it.
func propagateClose(con *net.TCPConn, cause error) {
	if errors.Is(cause, io.EOF) {
		_ = con.CloseWrite()
		return
	}
	reset(con)
}

// reset closes a connection with a TCP reset, so that the other end sees an error instead of EOF.
func reset(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}
