package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumintally/cumintally/platform/standin"
)

// Figures of the small deployments: khangai-ger.
const (
	memoryMB   = 284
	maxFiles   = 4100
	recovery   = 12 * time.Second
	stable     = 3 * time.Second
	host       = "shop.example"
	apiKey     = "a-key-of-the-tenant"
	tenantName = "tenant-one"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// world is the site of one case.
type world struct {
	store   *standin.Store
	folder  string
	record  *os.File
	began   time.Time
	trouble bool
	// subnet holds two bytes of the loopback IPs of the daemons.
	subnet int

	daemons []*daemon
	runners []*runner

	mu      sync.Mutex
	version int
	// closed is set once the world ends; no process is started then. starting guards it.
	closed   bool
	starting sync.Mutex
}

// newWorld returns a world without daemons or runners. It writes its record to the file at path.
func newWorld(path string) (*world, error) {
	folder, err := os.MkdirTemp("", "cumintally-review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &world{
		store:   standin.NewStore(),
		folder:  folder,
		record:  file,
		began:   time.Now(),
		trouble: os.Getenv("TROUBLE") != "0",
		subnet:  rand.IntN(250 << 8),
	}, nil
}

// logf writes a line to the record, with the time since the start.
func (wld *world) logf(format string, args ...any) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	fmt.Fprintf(wld.record, "%8.3f s  %s\n", time.Since(wld.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all daemons and removes the temporary folder.
func (wld *world) close() {
	wld.starting.Lock()
	defer wld.starting.Unlock()
	if wld.closed {
		return
	}
	wld.closed = true
	for _, dmn := range wld.daemons {
		dmn.kill()
	}
	for _, rnr := range wld.runners {
		rnr.close()
	}
	wld.store.Close()
	_ = os.RemoveAll(wld.folder)
	_ = wld.record.Close()
}

// putConfig writes the next version of the configuration with the given routes and services.
func (wld *world) putConfig(routes, services []map[string]any) {
	wld.mu.Lock()
	wld.version += 3
	version := wld.version
	wld.mu.Unlock()
	wld.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max-header-bytes":  16384,
			"max-body-bytes":    4194304,
			"header-timeout-ms": 5000,
			"idle-timeout-ms":   20000,
		},
		"tenants": []map[string]any{{"name": tenantName, "api-keys": []string{apiKey}}},
	})
	wld.logf("operator: configuration %d acknowledged", version)
}

// daemon is a daemon that runs as a process.
type daemon struct {
	wld      *world
	name     string
	zone     string
	front    string
	ready    string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	inRound atomic.Bool
}

// ip returns a loopback IP of this world. Outgoing connections are on 127.0.0.1, so that they don't take the ports of other IPs.
func (wld *world) ip(num int) string {
	return fmt.Sprintf("127.%d.%d.%d", wld.subnet>>8+1, wld.subnet&255, num+1)
}

// freeAddresses returns addresses that are free on an IP of their own. All listeners stay open until the last port is chosen.
func (wld *world) freeAddresses(num int) ([4]string, error) {
	var addrs [4]string
	for idx := range addrs {
		lst, err := net.Listen("tcp", wld.ip(num)+":0")
		if err != nil {
			return addrs, err
		}
		defer lst.Close()
		addrs[idx] = lst.Addr().String()
	}
	return addrs, nil
}

// addDaemon starts a daemon with the settings that the deploy file's template gives.
func (wld *world) addDaemon(num int) error {
	dmn := &daemon{
		wld:  wld,
		name: fmt.Sprintf("front-%s-%d", zones[num%len(zones)], num),
		zone: zones[num%len(zones)],
	}
	addrs, err := wld.freeAddresses(num)
	if err != nil {
		return err
	}
	dmn.front, dmn.ready = addrs[0], addrs[1]
	dmn.settings = filepath.Join(wld.folder, dmn.name+".conf")
	text := fmt.Sprintf(`[Entry]
Name = %s
AvailabilityZone = %s

[Listen]
Callers = %s
Readiness = %s
Peers = %s
Metrics = %s

[Platform]
Protocol = Machines
Address = %s
Timeout = 1s

[Requests]
StopNotice = 2500ms
DrainTimeout = 8s

[Control]
LeaseDuration = 2s

[Site]
RetryRatio = 0.2
RetryReserve = 134
RetryWindow = 10s
ColdExcess = 1.5
ColdReserve = 5
StallTime = 4000ms
KnowWithin = 2000ms
FirstStart = true
MemoryLimit = %d

[Log]
Level = info
`, dmn.name, dmn.zone, dmn.front, dmn.ready, addrs[2], addrs[3], wld.store.Address(), memoryMB)
	if err := os.WriteFile(dmn.settings, []byte(text), 0o600); err != nil {
		return err
	}
	wld.daemons = append(wld.daemons, dmn)
	return dmn.start()
}

// restarted clears FirstStart in the settings, which is true only at the first start of the whole site.
func (dmn *daemon) restarted() error {
	data, err := os.ReadFile(dmn.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(dmn.settings, []byte(strings.Replace(string(data), "FirstStart = true\n", "", 1)), 0o600)
}

// start starts the process with the run line of deploy/system.toml, which needs the descriptors limit of the machine.
func (dmn *daemon) start() error {
	dmn.wld.starting.Lock()
	defer dmn.wld.starting.Unlock()
	if dmn.wld.closed {
		return errors.New("the case has ended")
	}
	out, err := os.OpenFile(filepath.Join(dmn.wld.folder, dmn.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec target/cumintally entry --settings %s", maxFiles, dmn.settings))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	dmn.mu.Lock()
	dmn.cmd, dmn.exited = cmd, exited
	dmn.mu.Unlock()
	return nil
}

func (dmn *daemon) kill() {
	dmn.mu.Lock()
	cmd, exited := dmn.cmd, dmn.exited
	dmn.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (dmn *daemon) pid() int {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	return dmn.cmd.Process.Pid
}

// status returns a field of /proc/PID/status in kB, as the platform reads it.
func (dmn *daemon) status(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", dmn.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var num int
		if strings.HasPrefix(line, field+":") {
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, field+":"), "%d", &num)
			return num
		}
	}
	return 0
}

// askReady asks the question of the platform's balancer once.
func (dmn *daemon) askReady() bool {
	clt := http.Client{Timeout: 900 * time.Millisecond}
	res, err := clt.Get("http://" + dmn.ready + "/api/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// balance asks all daemons once a second whether they are ready, as the platform does; two misses take a daemon out.
func (wld *world) balance(stop <-chan struct{}) {
	for _, dmn := range wld.daemons {
		go func() {
			misses := 2
			for {
				if dmn.askReady() {
					misses = 0
				} else {
					misses++
				}
				dmn.inRound.Store(misses < 2)
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
}

// awaitReady waits until all daemons are ready.
func (wld *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, dmn := range wld.daemons {
		if err := dmn.awaitReady(time.Until(end)); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the daemon is ready.
func (dmn *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); !dmn.askReady(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			data, _ := os.ReadFile(filepath.Join(dmn.wld.folder, dmn.name+".log"))
			dmn.wld.logf("log of %s: %s", dmn.name, data[max(0, len(data)-4000):])
			return fmt.Errorf("%s isn't ready after %v", dmn.name, limit)
		}
	}
	return nil
}

// inRotation returns the daemons that get new connections.
func (wld *world) inRotation() []*daemon {
	var dmns []*daemon
	for _, dmn := range wld.daemons {
		if dmn.inRound.Load() {
			dmns = append(dmns, dmn)
		}
	}
	return dmns
}
