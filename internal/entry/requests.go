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
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/servicecall"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/workspace"
)

// callerParts are the parts that the callers' interface needs.
type callerParts struct {
	dig.In

	Settings   *settings.Settings
	Dispatcher *dispatch.Dispatcher
	Services   *servicecall.Caller
	Workspaces *workspace.Registry
	Store      *generation.Store
	Recorder   *burn.Recorder
	Clock      clockwork.Clock
	Log        *zap.Logger
}

// dispatchParts are the parts that the dispatcher needs.
type dispatchParts struct {
	dig.In

	Settings   *settings.Settings
	Backend    *backend.Client
	Mesh       *peer.Mesh
	Inventory  *inventory.Inventory
	Table      *evidence.Table
	Quarantine *quarantine.Quarantine
	Suspects   *suspects
	Limits     *limits
	Workspaces *workspace.Registry
	Metrics    metrics.Registry
	Clock      clockwork.Clock
	Log        *zap.Logger
}

func newDispatcher(deps dispatchParts) *dispatch.Dispatcher {
	set := deps.Settings
	sea := dispatch.Seams{
		Generate:   deps.Limits.generate,
		Resume:     deps.Limits.resume,
		Cancel:     deps.Backend.Cancel,
		Report:     deps.Backend.Report,
		Choose:     deps.Limits.choose,
		Acquire:    deps.Limits.acquire,
		OtherZones: otherZones(set, deps.Inventory),
		Forward:    forward(deps.Mesh),
		Attach:     attach(deps.Mesh),
		Sent:       deps.Workspaces.Sent,
		Retry:      deps.Workspaces.Retry,
		Announce:   deps.Suspects.announce,
		Place:      deps.Suspects.place,
		TryHold:    deps.Suspects.tryHold,
	}
	cfg := dispatch.Config{
		AvailabilityZone: set.Entry.AvailabilityZone,
		Self:             set.Listen.Peers,
		TokenKey:         []byte(set.Peers.Key),
		ResumeWindow:     set.Requests.ResumeWindow,
	}
	dsp := dispatch.New(cfg, sea, deps.Inventory, deps.Table, deps.Quarantine, deps.Metrics, deps.Clock, deps.Log)
	serveForwarded(deps.Mesh, dsp, deps.Clock)
	return dsp
}

func newCaller(deps callerParts) *caller.Handler {
	set := deps.Settings
	cfg := caller.Config{
		MaxBodySize: set.Requests.MaxBodySize,
		Timeout:     set.Requests.Timeout,
		TokenKey:    []byte(set.Peers.Key),
	}
	return caller.New(cfg, deps.Dispatcher, deps.Services, deps.Workspaces, deps.Store, deps.Recorder, deps.Clock, deps.Log)
}
