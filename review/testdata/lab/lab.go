package main

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cumintally/cumintally/platform/standin"
)

const (
	// daemonBinary is the program of the deploy file.
	daemonBinary = "target/cumintally"
	readyTimeout = 20 * time.Second
	// stopTimeout is the time that a daemon has to end after SIGTERM before it is killed.
	stopTimeout = 10 * time.Second
	// maxOutput bounds the output in bytes that is recorded of a daemon that does not become ready.
	maxOutput = 4000
)

// lab holds what a case has started.
type lab struct {
	rec     *record
	folder  string
	store   *standin.Store
	daemons []*daemon
	closers []func()
	closing sync.Once
}

// daemon is a daemon process.
type daemon struct {
	name  string
	zone  string
	front string
	ready string
	// storeLink is its path to the store.
	storeLink *link
	settings  string
	log       *os.File
	cmd       *exec.Cmd
	ended     chan struct{}
}

func newLab(rec *record) (*lab, error) {
	folder, err := os.MkdirTemp("", "cumintally-review-")
	if err != nil {
		return nil, err
	}
	lab := &lab{
		rec:    rec,
		folder: folder,
		store:  standin.NewStore(),
	}
	return lab, nil
}

// maxTime is the longest time that a case runs.
const maxTime = 100 * time.Second

// endEarly ends the case and all that it has started on a signal or after maxTime.
func (lab *lab) endEarly() {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-sig:
	case <-time.After(maxTime):
	}
	lab.close()
	os.Exit(statusNotRun)
}

// close ends all processes and removes their files.
func (lab *lab) close() {
	lab.closing.Do(lab.closeAll)
}

func (lab *lab) closeAll() {
	var stops sync.WaitGroup
	for _, dmn := range lab.daemons {
		stops.Go(func() { lab.stop(dmn) })
	}
	stops.Wait()
	for _, cls := range lab.closers {
		cls()
	}
	lab.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", lab.folder, keep).Run()
	}
	_ = os.RemoveAll(lab.folder)
}

// freePorts returns different ports that are free at the address ip.
func freePorts(ip string, num int) ([]int, error) {
	var ports []int
	for range num {
		lst, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// All are held until the last one is found, so that none is found twice.
		defer lst.Close()
		ports = append(ports, lst.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addDaemon starts a daemon at a loopback address of its own.
func (lab *lab) addDaemon(zone string) (*daemon, error) {
	num := len(lab.daemons) + 1
	ip := "127.0.42." + strconv.Itoa(num)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	lnk, err := newLink(lab.store.Address())
	if err != nil {
		return nil, err
	}
	lab.closers = append(lab.closers, lnk.close)
	dmn := &daemon{
		name:      "front-" + zone + "-" + strconv.Itoa(num),
		zone:      zone,
		front:     ip + ":" + strconv.Itoa(ports[0]),
		ready:     ip + ":" + strconv.Itoa(ports[1]),
		storeLink: lnk,
	}
	fields := maps.Clone(boundsOfSmallSite)
	maps.Copy(fields, map[string]string{
		"node":                  dmn.name,
		"zone":                  zone,
		"ip":                    ip,
		"listen.front":          dmn.front,
		"listen.ready":          dmn.ready,
		"internal-port-range.0": strconv.Itoa(ports[2]),
		"internal-port-range.1": strconv.Itoa(ports[3]),
		"platform.address":      lnk.address(),
	})
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	dmn.settings = filepath.Join(lab.folder, dmn.name+".conf")
	if err := os.WriteFile(dmn.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	if dmn.log, err = os.Create(filepath.Join(lab.folder, dmn.name+".log")); err != nil {
		return nil, err
	}
	if err := lab.start(dmn); err != nil {
		return nil, err
	}
	lab.daemons = append(lab.daemons, dmn)
	return dmn, nil
}

// start starts the process of a daemon with the command of the deploy file.
func (lab *lab) start(dmn *daemon) error {
	dmn.cmd = exec.Command(daemonBinary, "entry", "--settings", dmn.settings)
	dmn.cmd.Stdout = dmn.log
	dmn.cmd.Stderr = dmn.log
	dmn.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + lab.folder}
	if err := dmn.cmd.Start(); err != nil {
		return err
	}
	dmn.ended = make(chan struct{})
	cmd, ended := dmn.cmd, dmn.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	lab.rec.printf("daemon %s started, process %d", dmn.name, dmn.cmd.Process.Pid)
	return nil
}

// stop ends a daemon.
func (lab *lab) stop(dmn *daemon) {
	_ = dmn.cmd.Process.Signal(syscall.SIGCONT)
	_ = dmn.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-dmn.ended:
	case <-time.After(stopTimeout):
		_ = dmn.cmd.Process.Kill()
		<-dmn.ended
	}
	_ = dmn.log.Close()
}

// awaitReady waits until all daemons are ready.
func (lab *lab) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, dmn := range lab.daemons {
		for !isReady(dmn) {
			if time.Now().After(end) {
				out, _ := os.ReadFile(dmn.log.Name())
				lab.rec.printf("the output of %s: %s", dmn.name, out[max(0, len(out)-maxOutput):])
				return fmt.Errorf("daemon %s is not ready after %v", dmn.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	lab.rec.printf("all daemons are ready")
	return nil
}

func isReady(dmn *daemon) bool {
	res, err := http.Get("http://" + dmn.ready + "/api/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name":          name,
		"host":          callerHost,
		"path-prefix":   prefix,
		"kind":          kind,
		"timeout-ms":    routeTimeout.Milliseconds(),
		"slo-ms":        150,
		"priority":      2,
		"service":       service,
		"max-attempts":  attempts,
		"stream-resume": kind == "streaming",
	}
}

// routeTimeout is the timeout of all routes.
const routeTimeout = 1200 * time.Millisecond

// limits are those of a small site.
var limits = map[string]any{
	"max-header-bytes":  8192,
	"max-body-bytes":    4194304,
	"header-timeout-ms": 3000,
	"idle-timeout-ms":   15000,
}

// callerHost is the host of all routes.
const callerHost = "orders.example"

// zones are the availability zones of the small site.
var zones = []string{"ub-north", "ub-east", "ub-south"}

// plainService is the service of a site without engines, and movedService the one to which a case moves its route.
const (
	plainService = "ger-orders"
	movedService = "ger-orders-new"
)

// putConfig writes a version of the configuration with the given routes and returns when the store has acknowledged it.
func (lab *lab) putConfig(version int, routes ...map[string]any) time.Time {
	var services []map[string]any
	for _, name := range []string{plainService, movedService} {
		services = append(services, map[string]any{
			"name":        name,
			"health-path": "/health",
			"max-conns":   110,
		})
	}
	lab.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"tenants":  []any{},
		"limits":   limits,
	})
	at := time.Now()
	lab.rec.printfAt(at, "store: version %d of the configuration", version)
	return at
}

// startPlainSite starts a site with one plain service that has a runner in each zone, and waits until its daemons are ready.
func (lab *lab) startPlainSite(daemons int, work time.Duration, routes ...map[string]any) ([]*runner, error) {
	lab.putConfig(3, routes...)
	runners, err := lab.addRunners("i-", plainService, work)
	if err != nil {
		return nil, err
	}
	for num := range daemons {
		if _, err := lab.addDaemon(zones[num%len(zones)]); err != nil {
			return nil, err
		}
	}
	return runners, lab.awaitReady()
}

// addRunners starts a runner of a service in each zone.
func (lab *lab) addRunners(prefix, service string, work time.Duration) ([]*runner, error) {
	var runners []*runner
	for num, zone := range zones {
		rnr, err := lab.addRunner(prefix+string(rune('a'+num)), service, zone, work)
		if err != nil {
			return nil, err
		}
		runners = append(runners, rnr)
	}
	return runners, nil
}
