package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/objects"
)

// Bearer keys of operators, of daemons that call their peers, and of callers.
const (
	OperatorKey = "operators-key-of-the-example"
	PeerKey     = "peers-key-of-the-example"
	CallerKey   = "caller-key-of-the-example"
)

// Config describes the processes of a fleet.
type Config struct {
	// Binaries is the folder of the programs cumintally and cumintally-standin.
	Binaries string
	// Folder is where the settings and logs of the processes are written.
	Folder         string
	Zones          []string
	EntryVMs       int
	DomainsPerZone int
	VMsPerDomain   int
	Service        string
	ServicesByZone int
	// PlatformArgs are additional command-line arguments of the platform.
	PlatformArgs []string
	// RestartCrashed is the time after which an engine that ended on its own is started again, as on a VM that
	// is replaced; 0 disables the restart.
	RestartCrashed time.Duration
	// EngineArgs are additional command-line arguments of every engine.
	EngineArgs []string
	// Links opens a relay in front of every process that daemons connect to, so that connections can be cut.
	Links bool
	// EntryEnv is added to the environment of every daemon.
	EntryEnv []string
}

// Fleet is the set of processes of one environment.
type Fleet struct {
	config Config
	// Links is the process that runs all relays; nil if the fleet has none.
	Links    *Process
	Platform *Process
	Entries  []*Entry
	Engines  []*Engine
	Services []*Process

	// subnet is the second octet of the fleet's addresses, so that fleets that run at the same time use different
	// addresses.
	subnet byte
	// platformAddress is the address at which daemons reach the platform.
	platformAddress string
}

// Entry is the daemon process of an entry VM; the process's address is that of its callers' listener.
type Entry struct {
	*Process
	Zone string
	// Operators is the address of the operators' listener.
	Operators string
	// Peers is the address at which other daemons reach this one.
	Peers string
	// IP is the source address of the daemon's connections.
	IP netip.Addr
}

// Engine is the engine process of a backend server VM.
type Engine struct {
	*Process
	Zone   string
	Domain string
	// Advertised is the address at which daemons reach the engine.
	Advertised string
}

// ErrProcessExited says that a process exited while the fleet started, or that a relay could not listen. Usually another
// process has taken the port, and another start may succeed.
const ErrProcessExited = errors.ConstError("fleet: a process exited during the start")

// maxStartAttempts is the maximum number of attempts to start a fleet when a process exits during the start.
const maxStartAttempts = 3

// Start starts every process and waits until all daemons respond to /healthz. When a process exits during the start or a
// relay cannot listen, it kills the fleet and tries again; after the last attempt it returns ErrProcessExited.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	var err error
	for range maxStartAttempts {
		flt := &Fleet{
			config: cfg,
			subnet: byte(1 + rand.IntN(254)),
		}
		if err = flt.start(ctx); err == nil {
			return flt, nil
		}
		flt.Kill()
		if !errors.Is(err, ErrProcessExited) {
			break
		}
	}
	return nil, errors.Trace(err)
}

func (flt *Fleet) start(ctx context.Context) error {
	var err error
	if flt.config.Links {
		if flt.Links, err = flt.startStandin(sharedIP, "link", "link"); err != nil {
			return errors.Trace(err)
		}
		if err := flt.Links.waitFor(ctx, "http://"+flt.Links.Address+"/faults"); err != nil {
			return errors.Trace(err)
		}
	}
	if flt.Platform, err = flt.startStandin(flt.processIP(PlatformZone, 1), "platform", "platform", flt.config.PlatformArgs...); err != nil {
		return errors.Trace(err)
	}
	if flt.platformAddress, err = flt.openRelay(ctx, flt.Platform.Address); err != nil {
		return errors.Trace(err)
	}
	if err := flt.Platform.waitFor(ctx, "http://"+flt.Platform.Address+"/calls"); err != nil {
		return errors.Trace(err)
	}
	for idx, zon := range flt.config.Zones {
		if err := flt.startZoneBackends(ctx, idx+1, zon); err != nil {
			return errors.Trace(err)
		}
	}
	for idx := range flt.config.EntryVMs {
		if err := flt.StartEntry(ctx, fmt.Sprintf("entry-%d", idx+1), flt.config.Zones[idx%len(flt.config.Zones)]); err != nil {
			return errors.Trace(err)
		}
	}
	for _, ent := range flt.Entries {
		if err := ent.waitFor(ctx, "http://"+ent.Address+"/healthz"); err != nil {
			return errors.Trace(err)
		}
	}
	for _, eng := range flt.Engines {
		if eng.ExitedWithin(0) {
			return errors.Annotate(ErrProcessExited, eng.Name)
		}
	}
	for _, svc := range flt.Services {
		if svc.ExitedWithin(0) {
			return errors.Annotate(ErrProcessExited, svc.Name)
		}
	}
	return nil
}

// startZoneBackends starts the engines and service VMs of the availability zone with the given number and adds them
// to the platform's list.
func (flt *Fleet) startZoneBackends(ctx context.Context, num int, zon string) error {
	for dom := range flt.config.DomainsPerZone {
		domain := fmt.Sprintf("%s-fabric-%d", zon, dom+1)
		for idx := range flt.config.VMsPerDomain {
			name := fmt.Sprintf("%s-vm-%d", domain, idx+1)
			ip := flt.processIP(num, firstEngineNumber+dom*flt.config.VMsPerDomain+idx)
			prc, err := flt.startStandin(ip, name, "engine", append([]string{"--vm", name, "--platform", flt.Platform.Address}, flt.config.EngineArgs...)...)
			if err != nil {
				return errors.Trace(err)
			}
			adr, err := flt.openRelay(ctx, prc.Address)
			if err != nil {
				return errors.Trace(err)
			}
			flt.Engines = append(flt.Engines, &Engine{
				Process:    prc,
				Zone:       zon,
				Domain:     domain,
				Advertised: adr,
			})
			if err := flt.RegisterVM(ctx, objects.VM{
				Name:             name,
				AvailabilityZone: zon,
				FabricDomain:     domain,
				Role:             objects.RoleEngine,
				Address:          adr,
				State:            objects.VMLive,
				Accelerators:     8,
			}); err != nil {
				return errors.Trace(err)
			}
		}
	}
	for idx := range flt.config.ServicesByZone {
		name := fmt.Sprintf("%s-%s-%d", zon, flt.config.Service, idx+1)
		prc, err := flt.startStandin(flt.processIP(num, firstServiceNumber+idx), name, "service")
		if err != nil {
			return errors.Trace(err)
		}
		flt.Services = append(flt.Services, prc)
		adr, err := flt.openRelay(ctx, prc.Address)
		if err != nil {
			return errors.Trace(err)
		}
		if err := flt.RegisterVM(ctx, objects.VM{
			Name:             name,
			AvailabilityZone: zon,
			Role:             objects.RoleService,
			Service:          flt.config.Service,
			Address:          adr,
			State:            objects.VMLive,
		}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// StartEntry starts the daemon of an additional entry VM and adds the VM to the platform's list. It does not wait
// until the daemon is ready.
func (flt *Fleet) StartEntry(ctx context.Context, name, zon string) error {
	source := flt.processIP(1+slices.Index(flt.config.Zones, zon), 1+len(flt.Entries))
	adrs, err := freeAddresses(source, 3)
	if err != nil {
		return errors.Trace(err)
	}
	advertised, err := flt.openRelay(ctx, adrs[2])
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(flt.config.Folder, name+".ini")
	text := fmt.Sprintf("[Entry]\nName = %s\nAvailabilityZone = %s\n[Listen]\nCallers = %s\nOperators = %s\nPeers = %s\nAdvertisePeers = %s\n"+
		"[Platform]\nAddress = %s\n[Peers]\nKey = %s\n[Operators]\nKey = %s\n",
		name, zon, adrs[0], adrs[1], adrs[2], advertised, flt.platformAddress, PeerKey, OperatorKey)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.Trace(err)
	}
	prc := &Process{
		Name:        name,
		Address:     adrs[0],
		program:     filepath.Join(flt.config.Binaries, "cumintally"),
		args:        []string{"entry", "--settings", path},
		environment: flt.config.EntryEnv,
		logPath:     filepath.Join(flt.config.Folder, name+".log"),
	}
	if err := prc.start(); err != nil {
		return errors.Trace(err)
	}
	flt.Entries = append(flt.Entries, &Entry{
		Process:   prc,
		Zone:      zon,
		Operators: adrs[1],
		Peers:     advertised,
		IP:        source,
	})
	return flt.RegisterVM(ctx, objects.VM{
		Name:             name,
		AvailabilityZone: zon,
		Role:             objects.RoleEntry,
		Address:          advertised,
		State:            objects.VMLive,
	})
}

// startStandin starts a subcommand of cumintally-standin that listens on a free port of an IP address.
func (flt *Fleet) startStandin(ip netip.Addr, name, subcommand string, args ...string) (*Process, error) {
	adrs, err := freeAddresses(ip, 1)
	if err != nil {
		return nil, errors.Trace(err)
	}
	prc := &Process{
		Name:    name,
		Address: adrs[0],
		program: filepath.Join(flt.config.Binaries, "cumintally-standin"),
		args:    append([]string{subcommand, "--listen", adrs[0]}, args...),
		logPath: filepath.Join(flt.config.Folder, name+".log"),
	}
	if subcommand == "engine" {
		prc.restartDelay = flt.config.RestartCrashed
	}
	return prc, errors.Trace(prc.start())
}

// RegisterVM adds a VM to the platform's list, or replaces its entry.
func (flt *Fleet) RegisterVM(ctx context.Context, vmc objects.VM) error {
	return sendJSON(ctx, http.MethodPut, "http://"+flt.Platform.Address+"/vms/"+vmc.Name, vmc)
}

// SetFaults replaces all injected faults of a stand-in.
func (flt *Fleet) SetFaults(ctx context.Context, prc *Process, faults any) error {
	return sendJSON(ctx, http.MethodPut, "http://"+prc.Address+"/faults", faults)
}

// Stop terminates the daemons gracefully, one after another, and then kills the stand-ins. It returns an error if a
// daemon does not exit with status 0; each daemon gets the given time.
func (flt *Fleet) Stop(within time.Duration) error {
	var failed error
	for _, ent := range flt.Entries {
		if status := ent.Terminate(within); status != 0 {
			failed = errors.Errorf("%s: exit status %d after SIGTERM (-1: ended by a signal, or not in time)", ent.Name, status)
		}
	}
	flt.Kill()
	return failed
}

// Kill kills every process of the fleet.
func (flt *Fleet) Kill() {
	for _, ent := range flt.Entries {
		_ = ent.Kill()
	}
	for _, eng := range flt.Engines {
		_ = eng.Kill()
	}
	for _, svc := range flt.Services {
		_ = svc.Kill()
	}
	if flt.Platform != nil {
		_ = flt.Platform.Kill()
	}
	if flt.Links != nil {
		_ = flt.Links.Kill()
	}
}

func sendJSON(ctx context.Context, method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s %s: %s", method, url, res.Status)
	}
	return nil
}
