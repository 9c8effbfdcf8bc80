package link

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/standin/fault"
)

// Kind says what a cut does.
type Kind string

// The kinds of cuts.
const (
	// Refuse resets new and open connections.
	Refuse Kind = "Refuse"
	// Drop holds bytes back, those of a close included, and passes them on when the cut ends, as TCP does
	// that sends again. A connection that was opened during the cut is reset when the cut ends.
	Drop Kind = "Drop"
	// Delay passes bytes on later.
	Delay Kind = "Delay"
)

// Cut separates the addresses of two IP prefixes.
type Cut struct {
	From netip.Prefix
	To   netip.Prefix
	Kind Kind
	// OneWay cuts only what is sent from From to To.
	OneWay bool
	// Wait is the time by which a cut of kind Delay holds each piece back.
	Wait time.Duration
}

// Faults are the cuts in force.
type Faults struct {
	Cuts []Cut
}

// Relay says which target stands behind an address.
type Relay struct {
	Listen netip.AddrPort
	Target netip.AddrPort
}

// Links holds the relays of a fleet.
type Links struct {
	faults *fault.Switch[Faults]

	mu        sync.Mutex
	changed   chan struct{}
	listeners []net.Listener
}

// New returns links without relays.
func New() *Links {
	lks := &Links{
		faults:  fault.New(Faults{}),
		changed: make(chan struct{}),
	}
	lks.faults.OnSet(func(Faults) {
		lks.mu.Lock()
		defer lks.mu.Unlock()
		close(lks.changed)
		lks.changed = make(chan struct{})
	})
	return lks
}

// Set replaces the cuts.
func (lks *Links) Set(flt Faults) {
	lks.faults.Set(flt)
}

// Handler returns the control interface: /faults replaces the cuts, PUT /relays opens a relay.
func (lks *Links) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", lks.faults)
	rtr.Put("/relays", func(rsw http.ResponseWriter, req *http.Request) {
		var rel Relay
		if err := json.NewDecoder(req.Body).Decode(&rel); err != nil {
			http.Error(rsw, err.Error(), http.StatusBadRequest)
			return
		}
		if err := lks.Open(rel); err != nil {
			http.Error(rsw, err.Error(), http.StatusConflict)
		}
	})
	return rtr
}

// Open starts a relay.
func (lks *Links) Open(rel Relay) error {
	lst, err := net.Listen("tcp", rel.Listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	lks.mu.Lock()
	lks.listeners = append(lks.listeners, lst)
	lks.mu.Unlock()
	go func() {
		for {
			con, err := lst.Accept()
			if err != nil {
				return
			}
			go lks.relayConnection(con.(*net.TCPConn), rel)
		}
	}()
	return nil
}

// Close ends all relays; connections end when their ends close them.
func (lks *Links) Close() {
	lks.mu.Lock()
	defer lks.mu.Unlock()
	for _, lst := range lks.listeners {
		lst.Close()
	}
}

// activeCut returns the cut that holds for what src sends to dst, without a kind if there is none, and a channel that is
// closed when the cuts change.
func (lks *Links) activeCut(src, dst netip.Addr) (Cut, <-chan struct{}) {
	lks.mu.Lock()
	changed := lks.changed
	lks.mu.Unlock()
	for _, cut := range lks.faults.Get().Cuts {
		if (cut.From.Contains(src) && cut.To.Contains(dst)) || (!cut.OneWay && cut.From.Contains(dst) && cut.To.Contains(src)) {
			return cut, changed
		}
	}
	return Cut{}, changed
}

// connectionCut returns the cut that hits a connection: one whose handshake loses its packets in either direction
// cannot be opened.
func (lks *Links) connectionCut(src, dst netip.Addr) (Kind, <-chan struct{}) {
	to, changed := lks.activeCut(src, dst)
	from, _ := lks.activeCut(dst, src)
	if to.Kind == Refuse || from.Kind == "" {
		return to.Kind, changed
	}
	return from.Kind, changed
}

// relayConnection passes bytes on between a client and the target until both have closed.
func (lks *Links) relayConnection(client *net.TCPConn, rel Relay) {
	src := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	dst := rel.Listen.Addr()
	if kind, changed := lks.connectionCut(src, dst); kind == Drop || kind == Refuse {
		for kind == Drop {
			<-changed
			kind, changed = lks.connectionCut(src, dst)
		}
		// The client may have given up meanwhile, and what it sent must then not arrive.
		reset(client)
		return
	}
	con, err := net.Dial("tcp", rel.Target.String())
	if err != nil {
		reset(client)
		return
	}
	server := con.(*net.TCPConn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go lks.resetOnRefuse(ctx, src, dst, client, server)
	var pumps sync.WaitGroup
	pumps.Go(func() { lks.forward(src, dst, client, server) })
	pumps.Go(func() { lks.forward(dst, src, server, client) })
	pumps.Wait()
	_ = client.Close()
	_ = server.Close()
}

// resetOnRefuse resets an open connection as soon as a cut of kind Refuse holds for it.
func (lks *Links) resetOnRefuse(ctx context.Context, src, dst netip.Addr, client, server *net.TCPConn) {
	for {
		kind, changed := lks.connectionCut(src, dst)
		if kind == Refuse {
			reset(client)
			reset(server)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// forward copies what src sends to dst, and holds it back while a cut drops it.
func (lks *Links) forward(src, dst netip.Addr, from, to *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		num, err := from.Read(buf)
		cut, changed := lks.activeCut(src, dst)
		for ; cut.Kind == Drop; cut, changed = lks.activeCut(src, dst) {
			<-changed
		}
		if cut.Kind == Delay {
			time.Sleep(cut.Wait)
		}
		if num > 0 {
			if _, werr := to.Write(buf[:num]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A half close and a reset must arrive as such: an aborted answer must not look complete.
			propagateClose(to, err)
			return
		}
	}
}

func propagateClose(con *net.TCPConn, cause error) {
	if errors.Is(cause, io.EOF) {
		_ = con.CloseWrite()
		return
	}
	reset(con)
}

// reset closes a connection such that the other end sees it broken.
func reset(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}
