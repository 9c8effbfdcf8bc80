package embedded

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	contract "github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/platform"
	"github.com/cumintally/cumintally/internal/standin/service"
)

const (
	// Zone is the only availability zone of the environment.
	Zone = "zone-1"
	// CallerKey is the bearer key of the environment's workspace.
	CallerKey = "caller-key-of-the-example"
	// engineCount is the number of engines: two groups of 4 VMs and a spare.
	engineCount = 9
)

// Document is the configuration document of the environment.
//
//go:embed document.yaml
var Document []byte

// Environment serves a platform, engines and a service on loopback addresses.
type Environment struct {
	// Platform is the IP:port of the object API.
	Platform string

	store   *platform.Store
	servers []*http.Server
}

// New starts the stand-ins and returns their environment.
func New() (*Environment, error) {
	env := &Environment{
		store: platform.NewStore(),
	}
	adr, err := env.serve(platform.New(platform.Config{}, env.store).Handler())
	if err != nil {
		return nil, errors.Trace(err)
	}
	env.Platform = adr
	for idx := range engineCount {
		if err := env.startEngine(fmt.Sprintf("vm-%d", idx+1)); err != nil {
			env.Close()
			return nil, errors.Trace(err)
		}
	}
	if err := env.startService("jobs-1"); err != nil {
		env.Close()
		return nil, errors.Trace(err)
	}
	return env, nil
}

func (env *Environment) startEngine(name string) error {
	eng := engine.New(engine.Config{
		VM:           name,
		BaseStepTime: 20 * time.Millisecond,
		PrefillTime:  50 * time.Millisecond,
		LoadTime:     time.Second,
		WarmAfter:    8,
		ColdLimit:    2,
		Retention:    time.Minute,
	}, func() {})
	adr, err := env.serve(eng.Handler())
	if err != nil {
		return errors.Trace(err)
	}
	env.store.SetVM(contract.VM{
		Name:             name,
		AvailabilityZone: Zone,
		FabricDomain:     "fabric-1",
		Role:             contract.RoleEngine,
		Address:          adr,
		State:            contract.VMLive,
		Accelerators:     8,
	})
	return nil
}

func (env *Environment) startService(name string) error {
	adr, err := env.serve(service.New().Handler())
	if err != nil {
		return errors.Trace(err)
	}
	env.store.SetVM(contract.VM{
		Name:             name,
		AvailabilityZone: Zone,
		Role:             contract.RoleService,
		Service:          "jobs",
		Address:          adr,
		State:            contract.VMLive,
	})
	return nil
}

// AddEntryVM adds the entry VM whose daemon runs in this process to the platform's list of VMs. peers is its address for
// peers.
func (env *Environment) AddEntryVM(name, peers string) {
	env.store.SetVM(contract.VM{
		Name:             name,
		AvailabilityZone: Zone,
		Role:             contract.RoleEntry,
		Address:          peers,
		State:            contract.VMLive,
	})
}

func (env *Environment) serve(hnd http.Handler) (string, error) {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	srv := &http.Server{
		Handler:           hnd,
		ReadHeaderTimeout: 5 * time.Second,
	}
	env.servers = append(env.servers, srv)
	go func() { _ = srv.Serve(lst) }()
	return lst.Addr().String(), nil
}

// Close stops the stand-ins.
func (env *Environment) Close() {
	for _, srv := range env.servers {
		_ = srv.Shutdown(context.Background())
	}
}
