package listening

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Listener is an address and what serves on it; an empty address stands for none.
type Listener struct {
	Address string
	Handler http.Handler
	// HeaderTimeout bounds how long a client may take to send the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection may be idle; 0 sets no bound.
	IdleTimeout time.Duration
	// ErrorLog takes errors of connections; nil stands for the standard logger.
	ErrorLog *log.Logger
}

// maxHeaderSize is the size of headers in bytes that is read.
const maxHeaderSize = 64 << 10

// Open opens every listener before any serves, so that a wrong address stops the start. The servers are in the
// order of the listeners.
func Open(lsts []Listener) ([]*http.Server, error) {
	var cons []net.Listener
	var servers []*http.Server
	for _, lst := range lsts {
		if lst.Address == "" {
			continue
		}
		con, err := net.Listen("tcp", lst.Address)
		if err != nil {
			for _, open := range cons {
				open.Close()
			}
			return nil, errors.Annotatef(err, "listen on %s", lst.Address)
		}
		cons = append(cons, con)
		servers = append(servers, &http.Server{
			Handler:           lst.Handler,
			ReadHeaderTimeout: lst.HeaderTimeout,
			IdleTimeout:       lst.IdleTimeout,
			MaxHeaderBytes:    maxHeaderSize,
			ErrorLog:          lst.ErrorLog,
		})
	}
	for idx, srv := range servers {
		go func() { _ = srv.Serve(cons[idx]) }()
	}
	return servers, nil
}
