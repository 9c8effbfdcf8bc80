package listening

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Listener is a TCP address and the HTTP handler that serves it. A listener with an empty address is skipped.
type Listener struct {
	Address string
	Handler http.Handler
	// HeaderTimeout bounds the time in which a client must send the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection may be idle; 0 sets no bound.
	IdleTimeout time.Duration
	// Guard bounds the connections and their memory; nil sets no bound.
	Guard *Guard
	// ErrorLog receives connection errors; if it is nil, the standard logger is used.
	ErrorLog *log.Logger
}

// maxHeaderSize is the largest size of request headers, in bytes.
const maxHeaderSize = 64 << 10

// Server serves HTTP on one listener.
type Server struct {
	*http.Server
	// Address is that of the listener.
	Address string
	socket  net.Listener
}

// StopAccepting refuses further connections and closes idle ones. A connection on which a request is in progress, or has yet
// to arrive, is served and then closed.
func (srv *Server) StopAccepting() error {
	err := srv.socket.Close()
	srv.SetKeepAlivesEnabled(false)
	return errors.Trace(err)
}

// Open opens all listeners before it serves on any, so that a wrong address fails the start. It returns the servers in
// the order of the listeners, without the skipped ones.
func Open(listeners []Listener) ([]*Server, error) {
	var sockets []net.Listener
	var servers []*Server
	for _, lst := range listeners {
		if lst.Address == "" {
			continue
		}
		skt, err := lst.Guard.listen(lst.Address)
		if err != nil {
			for _, open := range sockets {
				open.Close()
			}
			return nil, errors.Annotatef(err, "listen on %s", lst.Address)
		}
		sockets = append(sockets, skt)
		srv := &http.Server{
			Handler:           lst.Handler,
			ReadHeaderTimeout: lst.HeaderTimeout,
			IdleTimeout:       lst.IdleTimeout,
			MaxHeaderBytes:    maxHeaderSize,
			ErrorLog:          lst.ErrorLog,
		}
		lst.Guard.apply(srv)
		servers = append(servers, &Server{
			Server:  srv,
			Address: lst.Address,
			socket:  skt,
		})
	}
	for idx, srv := range servers {
		go func() { _ = srv.Serve(sockets[idx]) }()
	}
	return servers, nil
}
