package entry

import (
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/caller"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/internal/workspace"
)

// callerDependencies are the components that newCaller uses.
type callerDependencies struct {
	dig.In

	Settings   *settings.Settings
	Dispatcher *dispatch.Dispatcher
	Services   *servicecall.Client
	Workspaces *workspace.Registry
	Store      *generation.Store
	Recorder   *burn.Recorder
	Bodies     *requestbody.Reader
	Clock      clockwork.Clock
	Logger     *zap.Logger
}

// dispatcherDependencies are the components that newDispatcher uses.
type dispatcherDependencies struct {
	dig.In

	Settings   *settings.Settings
	Backend    *backend.Client
	Mesh       *peer.Mesh
	Inventory  *inventory.Inventory
	Table      *vmreport.Table
	Quarantine *quarantine.Quarantine
	Suspects   *suspects
	Limits     *limits
	Workspaces *workspace.Registry
	Metrics    metrics.Registry
	Clock      clockwork.Clock
	Logger     *zap.Logger
}

func newDispatcher(dep dispatcherDependencies) *dispatch.Dispatcher {
	set := dep.Settings
	fns := dispatch.Dependencies{
		Generate:       dep.Limits.generate,
		Resume:         dep.Limits.resume,
		Cancel:         dep.Backend.Cancel,
		FetchReport:    dep.Backend.Report,
		Choose:         dep.Limits.chooseReplica,
		Acquire:        dep.Limits.acquireSlot,
		OtherZones:     otherZoneDaemons(set, dep.Inventory),
		Forward:        forward(dep.Mesh),
		Attach:         attach(dep.Mesh),
		RecordRequest:  dep.Workspaces.RecordRequest,
		TakeRetry:      dep.Workspaces.TakeRetry,
		Announce:       dep.Suspects.announce,
		PlaceCopy:      dep.Suspects.placeCopy,
		TryAcquireSlot: dep.Suspects.tryAcquireSlot,
	}
	cfg := dispatch.Config{
		AvailabilityZone: set.Entry.AvailabilityZone,
		Self:             set.Listen.Peers,
		TokenKey:         []byte(set.Peers.Key),
		ResumeWindow:     set.Requests.ResumeWindow,
	}
	dsp := dispatch.New(cfg, fns, dep.Inventory, dep.Table, dep.Quarantine, dep.Metrics, dep.Clock, dep.Logger)
	handleForwarded(dep.Mesh, dsp, dep.Clock)
	return dsp
}

func newCaller(dep callerDependencies) *caller.Handler {
	set := dep.Settings
	cfg := caller.Config{
		MaxBodySize: set.Requests.MaxBodySize,
		Timeout:     set.Requests.Timeout,
		TokenKey:    []byte(set.Peers.Key),
	}
	return caller.New(cfg, dep.Dispatcher, dep.Services, dep.Workspaces, dep.Store, dep.Recorder, dep.Bodies, dep.Clock, dep.Logger)
}
