package clients_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/platform/standin"
)

const (
	// startTime bounds the time until a daemon serves, and answerTime that until an ordinary request is answered.
	startTime  = 20 * time.Second
	answerTime = 10 * time.Second
	callerKey  = "a-key-of-the-only-workspace"
)

// daemon is a daemon under test.
type daemon struct {
	process *fleet.Process
	address string
	host    string
	path    string
	// headers are those of a caller in a workspace.
	headers map[string]string
	// largest is the size of the largest body in bytes that the daemon and the stand-in of its service take.
	largest int
	// status is that of the response to an ordinary request.
	status int
}

// edges are the two ways in which the product takes callers' requests.
var edges = []struct {
	name  string
	start func(tst *testing.T) *daemon
}{
	{
		name:  "site",
		start: startSite,
	},
	{
		name:  "own",
		start: startOwn,
	},
}

// basePort is the first port of a daemon.
const basePort = 20000

var (
	// sequence numbers the requests.
	sequence atomic.Int64
	// sites counts the daemons for prepared machines, so that each one gets an IP of its own.
	sites atomic.Uint32
)

// startSite starts a daemon for prepared machines, and a server of a plain service.
func startSite(tst *testing.T) *daemon {
	sto := standin.NewStore()
	tst.Cleanup(sto.Close)
	standin.PutPlainRoute(sto, "shop.example", "/bookings/", "jobs", callerKey, maxBody)
	standin.NewService(sto, "job-1", "jobs", "zone-a")
	// Ports that the kernel chose are not safe: it may choose a port again after it was released. An IP for each daemon and ports
	// below the kernel's range are.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, 1+sites.Add(1)%250)
	var adrs []string
	for num := range 3 {
		adrs = append(adrs, net.JoinHostPort(ip, strconv.Itoa(basePort+num)))
	}
	text := fmt.Sprintf(`[Entry]
Name = entry-1
AvailabilityZone = zone-a
[Platform]
Protocol = Machines
Address = %s
[Listen]
Callers = %s
Readiness = %s
Peers = %s
[Site]
MemoryLimit = %d
`, sto.Address(), adrs[0], adrs[1], adrs[2], memoryLimit)
	path := filepath.Join(tst.TempDir(), "settings.ini")
	qt.Assert(tst, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	bin, err := fleet.Build()
	qt.Assert(tst, err, qt.IsNil)
	return &daemon{
		address: adrs[0],
		host:    "shop.example",
		path:    "/bookings/7",
		headers: standin.CallerHeaders(callerKey, 10*time.Second),
		largest: maxBody - 64,
		status:  http.StatusOK,
		process: func() *fleet.Process {
			prc, err := fleet.StartProcess("entry-1", filepath.Join(bin, "cumintally"), []string{"entry", "--settings", path}, nil, path+".log")
			qt.Assert(tst, err, qt.IsNil)
			tst.Cleanup(func() { qt.Check(tst, prc.Kill(), qt.IsNil) })
			return prc
		}(),
	}
}

// document declares the service whose calls are made. The key hash is that of fleet.CallerKey.
const document = `
AvailabilityZones:
  - {Name: zone-1, Region: region-1}
Services:
  - Name: jobs
    Calls:
      - {Method: POST, Path: /bookings, Repeatable: false}
Workspaces:
  - {Name: polishing, KeyHashes: [064f736ded26ef7daea0f8913982c3dceded5a1dc4854caa1a3fa86042670bba], Share: 1}
`

// startOwn starts a daemon with the product's own interface for callers, and a server of a plain service.
func startOwn(tst *testing.T) *daemon {
	bin, err := fleet.Build()
	qt.Assert(tst, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	tst.Cleanup(cancel)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       bin,
		Folder:         tst.TempDir(),
		Zones:          []string{"zone-1"},
		EntryVMs:       1,
		Service:        "jobs",
		ServicesByZone: 1,
		EntryEnv: []string{
			fmt.Sprintf("CUMINTALLY_SITE_MEMORYLIMIT=%d", memoryLimit),
			fmt.Sprintf("CUMINTALLY_REQUESTS_MAXBODYSIZE=%d", maxBody),
		},
	})
	qt.Assert(tst, err, qt.IsNil)
	tst.Cleanup(flt.Kill)
	_, err = fleet.Promote(ctx, flt.Entries[0], []byte(document), 0)
	qt.Assert(tst, err, qt.IsNil)
	return &daemon{
		process: flt.Entries[0].Process,
		address: flt.Entries[0].Address,
		host:    "shop.example",
		path:    "/services/jobs/bookings",
		headers: map[string]string{
			"Authorization": "Bearer " + fleet.CallerKey,
			"Content-Type":  "application/json",
		},
		largest: 60 << 10,
		status:  http.StatusCreated,
	}
}

// requestHead returns the request line and the ordinary headers of a new request.
func (dmn *daemon) requestHead() string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: crowd-%d\r\n", dmn.path, dmn.host, standin.RequestIDHeader, sequence.Add(1))
	for name, val := range dmn.headers {
		head += name + ": " + val + "\r\n"
	}
	return head
}

// post sends a request with a body of about size bytes on a new connection. An error says that it was not answered as it should be.
func (dmn *daemon) post(size int) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+dmn.address+dmn.path, bytes.NewReader(body(size)))
	if err != nil {
		return err
	}
	req.Host = dmn.host
	req.Header.Set(standin.RequestIDHeader, fmt.Sprintf("ordinary-%d", sequence.Add(1)))
	for name, val := range dmn.headers {
		req.Header.Set(name, val)
	}
	htc := &http.Client{
		Timeout: answerTime,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	res, err := htc.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != dmn.status {
		err = fmt.Errorf("status %d: %s", res.StatusCode, data)
	}
	return err
}

// waitUntilServing returns once the daemon has answered a request.
func (dmn *daemon) waitUntilServing() error {
	err := dmn.post(1)
	for end := time.Now().Add(startTime); err != nil && time.Now().Before(end); err = dmn.post(1) {
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// watch begins to sample the memory in bytes and the open descriptors of the daemon. The function that it returns ends that and
// returns the largest values.
func (dmn *daemon) watch() func() (memory int64, descriptors int) {
	done := make(chan struct{})
	ended := make(chan struct{})
	var memory int64
	var descriptors int
	go func() {
		defer close(ended)
		for {
			if use, err := dmn.process.Usage(); err == nil {
				memory = max(memory, use.ResidentBytes)
				descriptors = max(descriptors, use.Descriptors)
			}
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() (int64, int) {
		close(done)
		<-ended
		return memory, descriptors
	}
}
