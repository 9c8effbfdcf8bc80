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
	// engines is enough for two groups of 4 VMs and a spare.
	engines = 9
)

// Document is the environment's document.
//
//go:embed document.yaml
var Document []byte

// Environment is a platform, engines and a service on loopback.
type Environment struct {
	// Platform is IP:port of the object API.
	Platform string

	sto  *platform.Store
	srvs []*http.Server
}

// New starts the stand-ins.
func New() (*Environment, error) {
	env := &Environment{
		sto: platform.NewStore(),
	}
	adr, err := env.serve(platform.New(platform.Config{}, env.sto).Handler())
	if err != nil {
		return nil, errors.Trace(err)
	}
	env.Platform = adr
	for idx := range engines {
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
	env.sto.SetVM(contract.VM{
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
	env.sto.SetVM(contract.VM{
		Name:             name,
		AvailabilityZone: Zone,
		Role:             contract.RoleService,
		Service:          "jobs",
		Address:          adr,
		State:            contract.VMLive,
	})
	return nil
}

// AddEntryVM puts the entry VM that runs in this process on the platform's list.
func (env *Environment) AddEntryVM(name, peers string) {
	env.sto.SetVM(contract.VM{
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
	env.srvs = append(env.srvs, srv)
	go func() { _ = srv.Serve(lst) }()
	return lst.Addr().String(), nil
}

// Close ends the stand-ins.
func (env *Environment) Close() {
	for _, srv := range env.srvs {
		_ = srv.Shutdown(context.Background())
	}
}
