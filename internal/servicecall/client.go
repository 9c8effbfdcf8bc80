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
	// maxResponseSize is the maximum size in bytes of a response that is forwarded to the caller.
	maxResponseSize = 8 << 20
	// maxAttempts is the maximum number of backend servers that a call is tried on.
	maxAttempts = 3
	// retryDelay is the Retry-After of a rejection for which no better time is known.
	retryDelay = time.Second
)

// Request is a call to a plain service.
type Request struct {
	RequestID string
	Workspace string
	Service   string
	Method    string
	// Path and Query are escaped as in the URL.
	Path           string
	Query          string
	ContentType    string
	IdempotencyKey string
	Body           []byte
	Deadline       time.Time
}

// Response is the response of a service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// KeyStore holds the functions that reserve, complete and release idempotency keys. They are fields so that tests can
// replace each one.
type KeyStore struct {
	Reserve func(ctx context.Context, scope, key string, fingerprint []byte) (booking.Reservation, error)
	Finish  func(rsv booking.Reservation, status int, contentType string, body []byte)
	Release func(rsv booking.Reservation)
}

// Client is a client for the backend servers of plain services. It is safe for concurrent use.
type Client struct {
	// Dial opens connections to backend servers. It may be replaced before the first call; the default is net.Dialer.
	Dial func(ctx context.Context, network, adr string) (net.Conn, error)

	zone            string
	keys            KeyStore
	readiness       *readinessChecker
	pauses          *pauseDetector
	bodies          bodyReader
	clk             clockwork.Clock
	log             *zap.Logger
	vms             func() []objects.VM
	documentInForce func() *document.Document
}

// New returns a client that prefers backend servers of the given availability zone. The function vms returns the
// VMs that may receive calls, documentInForce the document in force.
func New(zone string, keys KeyStore, vms func() []objects.VM, documentInForce func() *document.Document, clk clockwork.Clock, log *zap.Logger) *Client {
	cli := &Client{
		Dial: (&net.Dialer{}).DialContext,
		zone: zone,
		keys: keys,
		pauses: &pauseDetector{
			clk: clk,
		},
		bodies:          newBodyReader(),
		clk:             clk,
		log:             log.Named("servicecall"),
		vms:             vms,
		documentInForce: documentInForce,
	}
	cli.readiness = newReadinessChecker(clk, func(ctx context.Context, network, adr string) (net.Conn, error) { return cli.Dial(ctx, network, adr) })
	return cli
}

// Run detects pauses of this process until ctx ends.
func (cli *Client) Run(ctx context.Context) {
	cli.pauses.run(ctx)
}

// Call sends a call and returns the service's response, or a *refusal.Refusal.
func (cli *Client) Call(ctx context.Context, req Request) (Response, error) {
	svc, ok := cli.service(req.Service)
	if !ok {
		return Response{}, refusal.New(refusal.NotRun, http.StatusNotFound, "Unknown service", "no service "+req.Service+" is in service", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	switch {
	case repeatable(svc, req):
		return cli.callRepeatable(ctx, req)
	case req.IdempotencyKey != "":
		return cli.callWithKey(ctx, req)
	default:
		return cli.callOnce(ctx, req)
	}
}

// callRepeatable tries backend servers until one responds.
func (cli *Client) callRepeatable(ctx context.Context, req Request) (Response, error) {
	sent := false
	for _, adr := range cli.addresses(req.Service) {
		ans, err := cli.sendTo(ctx, ctx, adr, req)
		if err == nil {
			return ans, nil
		}
		sent = sent || !errors.Is(err, backend.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
	}
	if sent {
		return Response{}, refusal.UnknownOutcome("the backend server did not answer", retryDelay)
	}
	return Response{}, unavailable(req)
}

// callOnce tries backend servers until a byte of the call has been sent to one of them.
func (cli *Client) callOnce(ctx context.Context, req Request) (Response, error) {
	// If the caller disconnects after the first byte, the call still runs to its end.
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	defer cancel()
	for _, adr := range cli.addresses(req.Service) {
		if ctx.Err() != nil {
			break
		}
		ans, err := cli.sendTo(ctx, runCtx, adr, req)
		if err == nil {
			return ans, nil
		}
		if errors.Is(err, errResponseTooLarge) {
			return Response{}, refusal.New(refusal.Unknown, http.StatusBadGateway, "Response too large",
				"the call ran, but its response is too large to pass on", 0)
		}
		if !errors.Is(err, backend.ErrNotSent) {
			return Response{}, refusal.UnknownOutcome("the backend server did not answer; the call is not sent again", retryDelay)
		}
	}
	return Response{}, unavailable(req)
}

func unavailable(req Request) *refusal.Refusal {
	return refusal.Unavailable("no backend server of "+req.Service+" can take the call", retryDelay)
}

// sendTo sends a call to one backend server. The call starts only before startCtx ends, and is cancelled when
// runCtx ends.
func (cli *Client) sendTo(startCtx, runCtx context.Context, adr string, req Request) (Response, error) {
	if err := cli.readiness.ensureReady(startCtx, adr); err != nil {
		cli.log.Debug("skipped a backend server that is not ready", zap.String("request", req.RequestID), zap.String("address", adr), zap.Error(err))
		return Response{}, errors.Annotate(backend.ErrNotSent, err.Error())
	}
	gat := &gate{
		check: func() error { return cli.mayStart(startCtx, adr, req) },
		dial:  cli.Dial,
	}
	ans, err := send(startCtx, runCtx, gat, cli.bodies, adr, req)
	if err != nil {
		cli.log.Warn("call to a backend server failed",
			zap.String("request", req.RequestID),
			zap.String("service", req.Service),
			zap.String("address", adr),
			zap.Error(err),
		)
	}
	return ans, err
}

// mayStart checks whether a call may still be sent. It is called immediately before the first byte is sent, because
// the process may have been paused after the backend server was chosen.
func (cli *Client) mayStart(startCtx context.Context, adr string, req Request) error {
	if err := startCtx.Err(); err != nil {
		return err
	}
	if !cli.clk.Now().Before(req.Deadline) {
		return context.DeadlineExceeded
	}
	if err := cli.pauses.check(); err != nil {
		return err
	}
	for _, vmc := range cli.vms() {
		if vmc.Address == adr && acceptsCalls(vmc, req.Service) {
			return cli.readiness.checkAge(adr)
		}
	}
	return errors.Errorf("%s is no longer a live VM of the service", adr)
}

// acceptsCalls reports whether a VM is a live backend server of a service.
func acceptsCalls(vmc objects.VM, service string) bool {
	return vmc.Role == objects.RoleService && vmc.Service == service && vmc.State == objects.VMLive
}

// addresses returns up to maxAttempts backend servers of a service in random order, those of this daemon's
// availability zone first.
func (cli *Client) addresses(service string) []string {
	var sameZone, otherZones []string
	listed := map[string]bool{}
	for _, vmc := range cli.vms() {
		if vmc.Role == objects.RoleService {
			listed[vmc.Address] = true
		}
		if !acceptsCalls(vmc, service) {
			continue
		}
		if vmc.AvailabilityZone == cli.zone {
			sameZone = append(sameZone, vmc.Address)
		} else {
			otherZones = append(otherZones, vmc.Address)
		}
	}
	cli.readiness.prune(listed)
	rand.Shuffle(len(sameZone), func(fst, snd int) { sameZone[fst], sameZone[snd] = sameZone[snd], sameZone[fst] })
	rand.Shuffle(len(otherZones), func(fst, snd int) { otherZones[fst], otherZones[snd] = otherZones[snd], otherZones[fst] })
	adrs := append(sameZone, otherZones...)
	return adrs[:min(maxAttempts, len(adrs))]
}

func (cli *Client) service(name string) (document.Service, bool) {
	for _, svc := range cli.documentInForce().Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return document.Service{}, false
}

// repeatable reports whether a call may be repeated according to the document. A call that matches no rule may not.
func repeatable(svc document.Service, req Request) bool {
	// The service may decode an escaped or dotted path to a path that the rule does not cover.
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
