package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// storeTime is the time after which the store answers.
const storeTime = 4 * time.Millisecond

// link is a path to an address whose open connections can go silent while new ones work.
type link struct {
	target string
	lst    net.Listener

	mu    sync.Mutex
	conns map[*linkConn]bool
}

// linkConn is a connection over a link.
type linkConn struct {
	near net.Conn
	far  net.Conn
	// silent is closed once the connection carries no more bytes.
	silent chan struct{}
}

func newLink(target string) (*link, error) {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	lnk := &link{
		target: target,
		lst:    lst,
		conns:  map[*linkConn]bool{},
	}
	go lnk.accept()
	return lnk, nil
}

func (lnk *link) address() string {
	return lnk.lst.Addr().String()
}

func (lnk *link) accept() {
	for {
		near, err := lnk.lst.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", lnk.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		con := &linkConn{
			near:   near,
			far:    far,
			silent: make(chan struct{}),
		}
		lnk.mu.Lock()
		lnk.conns[con] = true
		lnk.mu.Unlock()
		go lnk.copy(con, con.far, con.near, 0)
		go lnk.copy(con, con.near, con.far, storeTime)
	}
}

// copy carries bytes in one direction, each after delay, until either end closes. A silent connection carries neither bytes nor its end.
func (lnk *link) copy(con *linkConn, dst, src net.Conn, delay time.Duration) {
	buf := make([]byte, 64<<10)
	for {
		num, err := src.Read(buf)
		if con.isSilent() {
			if err == nil {
				_, _ = io.Copy(io.Discard, src)
			}
			return
		}
		if num > 0 {
			time.Sleep(delay)
			if _, werr := dst.Write(buf[:num]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = con.near.Close()
			_ = con.far.Close()
			lnk.mu.Lock()
			delete(lnk.conns, con)
			lnk.mu.Unlock()
			return
		}
	}
}

func (con *linkConn) isSilent() bool {
	select {
	case <-con.silent:
		return true
	default:
		return false
	}
}

// silence makes all open connections silent for good and returns their number. New connections work.
func (lnk *link) silence() int {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	num := 0
	for con := range lnk.conns {
		if !con.isSilent() {
			close(con.silent)
			num++
		}
	}
	return num
}

func (lnk *link) close() {
	_ = lnk.lst.Close()
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for con := range lnk.conns {
		_ = con.near.Close()
		_ = con.far.Close()
	}
}
