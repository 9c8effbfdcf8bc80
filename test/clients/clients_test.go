package clients_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
)

const (
	// memoryLimit is the MemoryLimit of the daemon in MB, half of that of the smallest VM, so that a small crowd reaches it.
	memoryLimit = 96
	// crowd is the number of clients at once, and piecesCrowd that of clients that send only half of a body.
	crowd       = 40
	piecesCrowd = 80
	// maxBody is the largest body that the daemon takes, in bytes.
	maxBody = 4 << 20
	// maxDescriptors bounds the open descriptors of the daemon: two for each client, and those of its own connections.
	maxDescriptors = 2*piecesCrowd + 100
	// sendingTime bounds how long the crowd sends, and keepsOpen how long its connections stay open afterwards at least.
	sendingTime = 5 * time.Second
	keepsOpen   = 500 * time.Millisecond
)

func TestMain(mtx *testing.M) {
	os.Exit(fleet.RunTests(mtx.Run))
}

// attacks are what the clients of a crowd send. A body that they state or begin is not completed.
var attacks = []struct {
	name    string
	clients int
	// head follows the request line and the ordinary headers; for headless attacks, nothing else is sent before repeat.
	head     string
	headless bool
	// repeat is sent until total bytes are, or without end if total is 0. pause is the time between two pieces of pieceSize bytes.
	repeat string
	total  int
	pause  time.Duration
}{
	{
		name:    "endless-headers",
		clients: crowd,
		repeat:  "Name: value\r\n",
	},
	{
		name:     "empty-lines",
		clients:  crowd,
		headless: true,
		repeat:   "\r\n",
	},
	{
		name:    "whole-bodies",
		clients: crowd,
		head:    fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody),
		repeat:  "x",
		total:   maxBody - 1,
	},
	{
		name:    "bodies-in-pieces",
		clients: piecesCrowd,
		head:    fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody),
		repeat:  "x",
		total:   maxBody / 2,
		pause:   20 * time.Millisecond,
	},
	{
		name:    "large-chunks",
		clients: crowd,
		head:    "Transfer-Encoding: chunked\r\n\r\n",
		repeat:  "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n",
		total:   (maxBody - 1) / (1 << 16) * (1<<16 + len("10000\r\n\r\n")),
	},
	{
		name:    "chunks-of-one-byte",
		clients: crowd,
		head:    "Transfer-Encoding: chunked\r\n\r\n",
		repeat:  "1\r\nx\r\n",
		total:   (maxBody - 1) * len("1\r\nx\r\n"),
	},
}

// pieceSize is the number of bytes that a client writes at once.
const pieceSize = 64 << 10

// Guards against a daemon that runs out of memory or descriptors, or serves nobody else, because untrusted clients send
// headers or bodies that they do not complete (docs/hard-load.md, part 4). The crowd is connected while the ordinary request
// is served.
func TestUnfinishedRequestsFitIntoMemory(tst *testing.T) {
	for _, edg := range edges {
		for _, att := range attacks {
			tst.Run(edg.name+"/"+att.name, func(tst *testing.T) {
				dmn := edg.start(tst)
				qt.Assert(tst, dmn.waitUntilServing(), qt.IsNil)
				qt.Assert(tst, dmn.post(dmn.largest), qt.IsNil, qt.Commentf("a large body, alone"))
				sending := time.Now().Add(sendingTime)
				whole := []byte(strings.Repeat(att.repeat, max(1, pieceSize/len(att.repeat))))
				leave := make(chan struct{})
				var sent, left sync.WaitGroup
				for range att.clients {
					sent.Add(1)
					left.Go(func() {
						con, err := net.Dial("tcp", dmn.address)
						if err != nil {
							sent.Done()
							return
						}
						defer con.Close()
						_ = con.SetWriteDeadline(sending)
						if !att.headless {
							_, err = con.Write([]byte(dmn.requestHead() + att.head))
						}
						for num := 0; err == nil && (att.total == 0 || num < att.total); {
							part := whole
							if att.total > 0 {
								part = whole[:min(len(whole), att.total-num)]
							}
							_, err = con.Write(part)
							num += len(part)
							time.Sleep(att.pause)
						}
						sent.Done()
						<-leave
					})
				}
				peak := dmn.watch()
				sent.Wait()
				time.Sleep(keepsOpen)
				err := dmn.post(100)
				close(leave)
				left.Wait()
				memory, descriptors := peak()
				tst.Logf("at most %d MB and %d descriptors; ordinary request: %v", memory>>20, descriptors, err)
				qt.Check(tst, err, qt.IsNil, qt.Commentf("an ordinary request"))
				qt.Check(tst, dmn.process.ExitedWithin(0), qt.IsFalse, qt.Commentf("the daemon has ended"))
				qt.Check(tst, descriptors <= maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
				if !fleet.RaceDetectorEnabled {
					qt.Check(tst, memory < memoryLimit<<20, qt.IsTrue, qt.Commentf("%d MB", memory>>20))
				}
			})
		}
	}
}

// body returns the body of a booking with 31 bytes more than size.
func body(size int) []byte {
	return fmt.Appendf(nil, `{"Reference":"x","Padding":"%s"}`, bytes.Repeat([]byte("x"), size))
}
