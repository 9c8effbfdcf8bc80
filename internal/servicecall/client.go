package servicecall

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/booking"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// maxAnswerSize is the largest response of a service in bytes that is passed on.
	maxAnswerSize = 8 << 20
	// maxAttempts is the number of backend servers that a call is tried at.
	maxAttempts = 3
	// comeBack is the Retry-After of a rejection when nothing tells a better time.
	comeBack = time.Second
)

// Request is a call of a plain service.
type Request struct {
	RequestID string
	Workspace string
	Service   string
	Method    string
	// Path and Query are as escaped in the URL.
	Path           string
	Query          string
	ContentType    string
	IdempotencyKey string
	Body           []byte
	Deadline       time.Time
}

// Answer is what the service answered.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Ledger keeps the idempotency keys, as function fields so that tests can replace each one.
type Ledger struct {
	Reserve func(ctx context.Context, scope, key string, fingerprint []byte) (booking.Reservation, error)
	Finish  func(rsv booking.Reservation, status int, contentType string, body []byte)
	Release func(rsv booking.Reservation)
}

// Caller sends calls to the backend servers of plain services.
type Caller struct {
	// Dial opens connections to backend servers in place of net.Dialer; it is set before the first call.
	Dial func(ctx context.Context, network, adr string) (net.Conn, error)

	zone    string
	led     Ledger
	rdy     *readiness
	wak     *wakefulness
	clk     clockwork.Clock
	log     *zap.Logger
	vms     func() []objects.VM
	inForce func() *document.Document
}

// New returns a caller that prefers backend servers of the given availability zone; vms returns the VMs
// that may get work.
func New(zone string, led Ledger, vms func() []objects.VM, inForce func() *document.Document, clk clockwork.Clock, log *zap.Logger) *Caller {
	cal := &Caller{
		Dial: (&net.Dialer{}).DialContext,
		zone: zone,
		led:  led,
		wak: &wakefulness{
			clk: clk,
		},
		clk:     clk,
		log:     log.Named("servicecall"),
		vms:     vms,
		inForce: inForce,
	}
	cal.rdy = newReadiness(clk, func(ctx context.Context, network, adr string) (net.Conn, error) { return cal.Dial(ctx, network, adr) })
	return cal
}

// Run watches for pauses of this process until ctx ends.
func (cal *Caller) Run(ctx context.Context) {
	cal.wak.run(ctx)
}

// Call runs a call and returns the service's answer, or a *refusal.Refusal.
func (cal *Caller) Call(ctx context.Context, req Request) (Answer, error) {
	svc, ok := cal.service(req.Service)
	if !ok {
		return Answer{}, refusal.New(refusal.NotRun, http.StatusNotFound, "Unknown service", "no service "+req.Service+" is in service", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	switch {
	case repeatable(svc, req):
		return cal.callRepeatable(ctx, req)
	case req.IdempotencyKey != "":
		return cal.callKeyed(ctx, req)
	default:
		return cal.callOnce(ctx, req)
	}
}

// callRepeatable tries backend servers until one answers.
func (cal *Caller) callRepeatable(ctx context.Context, req Request) (Answer, error) {
	sent := false
	for _, adr := range cal.addresses(req.Service) {
		ans, err := cal.sendTo(ctx, ctx, adr, req)
		if err == nil {
			return ans, nil
		}
		sent = sent || !errors.Is(err, backend.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
	}
	if sent {
		return Answer{}, refusal.UnknownOutcome("the backend server did not answer", comeBack)
	}
	return Answer{}, unavailable(req)
}

// callOnce tries backend servers until a byte has gone out to one of them.
func (cal *Caller) callOnce(ctx context.Context, req Request) (Answer, error) {
	// The caller may go away after the first byte; the call then still runs to its end.
	run, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	defer cancel()
	for _, adr := range cal.addresses(req.Service) {
		if ctx.Err() != nil {
			break
		}
		ans, err := cal.sendTo(ctx, run, adr, req)
		if err == nil {
			return ans, nil
		}
		if errors.Is(err, errAnswerTooLarge) {
			return Answer{}, refusal.New(refusal.Unknown, http.StatusBadGateway, "Response too large",
				"the call ran, but its response is too large to pass on", 0)
		}
		if !errors.Is(err, backend.ErrNotSent) {
			return Answer{}, refusal.UnknownOutcome("the backend server did not answer; the call is not sent again", comeBack)
		}
	}
	return Answer{}, unavailable(req)
}

func unavailable(req Request) *refusal.Refusal {
	return refusal.Unavailable("no backend server of "+req.Service+" can take the call", comeBack)
}

// sendTo sends a call to one backend server. The call starts only while ask lives and is given up when
// run ends.
func (cal *Caller) sendTo(ask, run context.Context, adr string, req Request) (Answer, error) {
	if err := cal.rdy.ask(ask, adr); err != nil {
		cal.log.Debug("passed over a backend server", zap.String("request", req.RequestID), zap.String("address", adr), zap.Error(err))
		return Answer{}, errors.Annotate(backend.ErrNotSent, err.Error())
	}
	gat := &gate{
		check: func() error { return cal.mayStart(ask, adr, req) },
		dial:  cal.Dial,
	}
	ans, err := send(ask, run, gat, adr, req)
	if err != nil {
		cal.log.Warn("a backend server failed a call",
			zap.String("request", req.RequestID),
			zap.String("service", req.Service),
			zap.String("address", adr),
			zap.Error(err),
		)
	}
	return ans, err
}

// mayStart is asked at the moment of sending: the process may have been paused since the choice was made.
func (cal *Caller) mayStart(ask context.Context, adr string, req Request) error {
	if err := ask.Err(); err != nil {
		return err
	}
	if !cal.clk.Now().Before(req.Deadline) {
		return context.DeadlineExceeded
	}
	if err := cal.wak.check(); err != nil {
		return err
	}
	for _, vmc := range cal.vms() {
		if vmc.Address == adr && takesCalls(vmc, req.Service) {
			return cal.rdy.current(adr)
		}
	}
	return errors.Errorf("%s is no longer in service", adr)
}

func takesCalls(vmc objects.VM, service string) bool {
	return vmc.Role == objects.RoleService && vmc.Service == service && vmc.State == objects.VMLive
}

// addresses returns up to maxAttempts backend servers of a service, those of the own zone first, else in
// random order.
func (cal *Caller) addresses(service string) []string {
	var near, far []string
	listed := map[string]bool{}
	for _, vmc := range cal.vms() {
		if vmc.Role == objects.RoleService {
			listed[vmc.Address] = true
		}
		if !takesCalls(vmc, service) {
			continue
		}
		if vmc.AvailabilityZone == cal.zone {
			near = append(near, vmc.Address)
		} else {
			far = append(far, vmc.Address)
		}
	}
	cal.rdy.keep(listed)
	rand.Shuffle(len(near), func(fst, snd int) { near[fst], near[snd] = near[snd], near[fst] })
	rand.Shuffle(len(far), func(fst, snd int) { far[fst], far[snd] = far[snd], far[fst] })
	adrs := append(near, far...)
	return adrs[:min(maxAttempts, len(adrs))]
}

func (cal *Caller) service(name string) (document.Service, bool) {
	for _, svc := range cal.inForce().Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return document.Service{}, false
}

// repeatable reports whether the document lets a call be repeated; a call that matches no rule may not be.
func repeatable(svc document.Service, req Request) bool {
	// The service may read an escaped or dotted path as another path than the rule means.
	if strings.Contains(req.Path, "%") || path.Clean(req.Path) != req.Path {
		return false
	}
	for _, rul := range svc.Calls {
		prefix, wild := strings.CutSuffix(rul.Path, "*")
		if rul.Method == req.Method && (rul.Path == req.Path || (wild && strings.HasPrefix(req.Path, prefix))) {
			return rul.Repeatable
		}
	}
	return false
}
