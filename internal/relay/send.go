package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/suspicion"
	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	// firstConnectTimeout bounds the time to connect for the first send of a request: a server that is down does not
	// respond, and another one can still be on time. Each further send has twice the time, since slow links or a busy VM
	// can delay all connections.
	firstConnectTimeout = 120 * time.Millisecond
	// settlingTime is the time after the first part of a response during which the request may still crash its backend
	// server: a few steps of an engine.
	settlingTime = 250 * time.Millisecond
)

// send is one send of a request to a backend server. Once it has begun, it holds the first part of the response; the response can
// still break off. A send may run beside the one whose response the caller receives, so that it reads nothing of its run that changes
// while the request is served.
type send struct {
	run  *run
	pick placement.Pick
	// number is that of the send among all sends of the request, from 1 on.
	number int
	// resumesStream is set if the caller has received a part of a stream, whose last event was that called lastEventID.
	resumesStream bool
	lastEventID   string
	// ctx ends with the send; cancel closes the connection.
	ctx    context.Context
	cancel context.CancelFunc

	// sentAt is when the backend server was chosen. Its response has been arriving since writingSince, the zero time before. survived is
	// set once that is reported.
	sentAt       time.Time
	writingSince time.Time
	survived     bool
	// arrived is set if the request may have reached the backend server, and mayHaveRun if it may have run there.
	arrived    bool
	mayHaveRun bool
	// unanswered is set if the connection broke before anything arrived on it.
	unanswered bool

	// response is set once its headers are read, and begun once a part for the caller is. For an event stream, part is the latest event
	// and events reads the rest; otherwise part is the whole body, or its beginning if tooLarge is set. ended is set if there is nothing
	// after part, and finished once the connection has been given back.
	response *upstream.Response
	begun    bool
	finished bool
	events   *bufio.Reader
	part     []byte
	ended    bool
	tooLarge bool
	// serverError is an error response of the backend server, delivered if nothing better comes.
	serverError *bufferedResponse
}

// newSend returns a send to the backend server of pick, which it releases at its end.
func (run *run) newSend(ctx context.Context, pick placement.Pick, number int) *send {
	ctx, cancel := context.WithCancel(ctx)
	return &send{
		run:           run,
		pick:          pick,
		number:        number,
		resumesStream: run.committed,
		lastEventID:   run.lastEventID,
		ctx:           ctx,
		cancel:        cancel,
		sentAt:        run.relay.clock.Now(),
	}
}

// close ends the send. A response that is not complete is cancelled at the backend server.
func (snd *send) close() {
	snd.finish(false)
	snd.cancel()
	snd.pick.Release()
}

// finish gives the connection back; whole is set if the response was read to its end.
func (snd *send) finish(whole bool) {
	if snd.response != nil && !snd.finished {
		snd.finished = true
		snd.response.Finish(whole)
	}
}

// begin sends the request and reads the first part of the response. It returns no error once there is a part for the caller.
func (snd *send) begin() (outcome, error) {
	rly, srv := snd.run.relay, snd.pick.Server
	con, err := snd.connect(srv.Address)
	if err != nil {
		snd.recordUnconnected(err)
		return notRun, errors.Trace(err)
	}
	rsp, err := con.Do(snd.ctx, snd.buildCall())
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun, errors.Trace(err)
	}
	snd.arrived = true
	if err != nil {
		snd.mayHaveRun = true
		snd.unanswered = !con.HasReceived()
		return unknown, snd.recordBroken(err)
	}
	snd.response = rsp
	rhd := rly.format.ParseResponse(rsp.Response)
	snd.run.applyServerState(srv, rhd)
	if rhd.NotRun || rhd.Misdirected {
		snd.finish(rsp.Discard() == nil)
		if rhd.FaultyServerID != "" && rhd.FaultyServerID != srv.ID {
			rly.outliers.Eject(srv.ID, rly.clock.Now())
		}
		return notRun, errors.Errorf("backend server %s did not run the request: status %d", srv.ID, rsp.StatusCode)
	}
	snd.mayHaveRun = true
	begin := snd.beginBuffered
	if isEventStream(rsp) && rsp.StatusCode == http.StatusOK {
		begin = snd.beginEvents
	}
	if err := begin(rsp, rhd); err != nil {
		return unknown, err
	}
	snd.begun = true
	return answered, nil
}

// connect returns a connection to the backend server at address on which the response to the request can be told from earlier ones. One
// that has carried the request before cannot be used: the server may have restarted under another ID, or be registered under two.
func (snd *send) connect(address string) (*upstream.Conn, error) {
	rly, id := snd.run.relay, snd.run.requestHeaders.RequestID
	for {
		con, err := rly.deps.Connect(snd.ctx, address, firstConnectTimeout<<(snd.number-1))
		if err != nil || con.Distinguishes(id) {
			return con, errors.Trace(err)
		}
		rly.logger.Info("closing a kept connection on which a response could belong to an earlier send",
			zap.String("request", id), zap.String("address", address), zap.Int("send", snd.number))
		con.Close()
	}
}

// recordUnconnected records that no connection to the backend server opened. One that resets it may be at its limit of connections and
// serve those that it has.
func (snd *send) recordUnconnected(err error) {
	rly, srv := snd.run.relay, snd.pick.Server
	now := rly.clock.Now()
	switch {
	case snd.ctx.Err() != nil || errors.Is(err, upstream.ErrPathBroken):
	case errors.Is(err, syscall.ECONNRESET):
		snd.recordReset(now)
	default:
		rly.outliers.Eject(srv.ID, now)
		rly.deps.ReportFailure(srv, suspicion.Unreachable, now)
	}
}

// recordReset records that the backend server broke a connection. It is reported once it has done so often.
func (snd *send) recordReset(now time.Time) {
	rly, srv := snd.run.relay, snd.pick.Server
	if rly.outliers.RecordFailure(srv.ID, now) {
		rly.deps.ReportFailure(srv, suspicion.Reset, now)
	}
}

func (snd *send) buildCall() upstream.Request {
	run := snd.run
	hdr := forwardedHeader(run.request.Header)
	last := snd.lastEventID
	if last == "" {
		last = run.requestHeaders.LastEventID
	}
	run.relay.format.RewriteRequest(hdr, ForwardHeaders{
		TimeLeft:    run.deadline.Sub(run.relay.clock.Now()),
		ServerID:    snd.pick.Server.ID,
		Workspace:   run.workspace,
		LastEventID: last,
		Priority:    snd.priority(),
	})
	return upstream.Request{
		ID:     run.requestHeaders.RequestID,
		Method: run.request.Method,
		Target: run.target,
		Host:   run.request.Host,
		Header: hdr,
		Body:   run.body.Segments,
		Match: func(res *http.Response) upstream.Match {
			switch run.relay.format.ParseResponse(res).RequestID {
			case "":
				return upstream.Unnamed
			case run.requestHeaders.RequestID:
				return upstream.Same
			default:
				return upstream.Other
			}
		},
	}
}

// priority returns the priority at the backend server, 0 being the most urgent. A request that will miss its objective in any case
// yields to those that can still meet it; a stream that has begun precedes all others.
func (snd *send) priority() int {
	run, forecast := snd.run, snd.pick.Forecast
	switch late := run.waitedBefore+run.relay.clock.Since(run.startedAt)+forecast > run.route.Objective; {
	case snd.resumesStream:
		return 0
	case run.route.Objective > 0 && forecast > 0 && late:
		return run.priority + latePriorityOffset
	default:
		return run.priority
	}
}

// recordBroken records a connection that ended before the response was complete.
func (snd *send) recordBroken(err error) error {
	rly, srv, now := snd.run.relay, snd.pick.Server, snd.run.relay.clock.Now()
	if snd.ctx.Err() != nil || errors.Is(err, upstream.ErrPathBroken) {
		return errors.Trace(err)
	}
	snd.recordReset(now)
	if !snd.hasSettled(now) {
		rly.deps.ReportCrash(Crash{
			Request: snd.run.identity(),
			Server:  srv,
			// The event includes the start of the process: one that restarts under the same ID can crash again.
			Event:      srv.ID + "/" + strconv.FormatInt(srv.StartTime, 10),
			Unanswered: snd.unanswered,
			SentAt:     snd.sentAt,
		}, now)
	}
	return errors.Trace(err)
}

// hasSettled reports whether the response has been arriving for so long that the request would have crashed its backend
// server before.
func (snd *send) hasSettled(now time.Time) bool {
	return !snd.writingSince.IsZero() && now.Sub(snd.writingSince) >= settlingTime
}

// recordWriting records that a part of the response arrived; complete is set if it was the last one.
func (snd *send) recordWriting(now time.Time, complete bool) {
	if snd.writingSince.IsZero() {
		snd.writingSince = now
	}
	if !snd.survived && (complete || snd.hasSettled(now)) {
		snd.survived = true
		snd.run.relay.deps.ReportSurvival(snd.run.identity(), now)
	}
}

// beginEvents reads the first event of a stream.
func (snd *send) beginEvents(rsp *upstream.Response, rhd ResponseHeaders) error {
	rly, server := snd.run.relay, snd.pick.Server.ID
	if fault := responseFault(rsp, rhd); fault != "" {
		snd.finish(false)
		rly.outliers.RecordFailure(server, rly.clock.Now())
		return errors.Errorf("backend server %s: %s", server, fault)
	}
	snd.events = bufio.NewReaderSize(rsp.Body, eventBufferSize)
	if err := snd.readPart(); err != nil {
		return err
	}
	// The rest of a stream may be empty, but the end of the connection may also mean that the server broke off.
	if len(snd.part) == 0 && (!snd.resumesStream || rsp.CloseDelimited()) {
		snd.finish(true)
		rly.outliers.RecordFailure(server, rly.clock.Now())
		return errors.New("the stream ended before its first event")
	}
	return nil
}

// readPart reads the next event of a stream. An error means that the stream broke off.
func (snd *send) readPart() error {
	evt, err := readEvent(snd.events)
	if errors.Is(err, io.EOF) && len(evt) > 0 {
		// Without a length, the end of the connection is the only sign that the server broke off.
		err = errors.Annotate(io.ErrUnexpectedEOF, "the stream ended inside an event")
	}
	snd.ended = errors.Is(err, io.EOF)
	if err != nil && !snd.ended {
		snd.finish(false)
		return snd.recordBroken(err)
	}
	if snd.ended {
		snd.finish(true)
	}
	snd.part = evt
	if len(evt) > 0 {
		now := snd.run.relay.clock.Now()
		snd.pick.ResponseBegan()
		snd.run.relay.outliers.RecordProgress(snd.pick.Server.ID, now)
		snd.recordWriting(now, false)
	}
	return nil
}

// beginBuffered reads a response that is no event stream, whole if it is small enough.
func (snd *send) beginBuffered(rsp *upstream.Response, rhd ResponseHeaders) error {
	rly, server := snd.run.relay, snd.pick.Server.ID
	if snd.run.service.Engine == nil {
		snd.pick.ResponseBegan()
	}
	body, err := readBuffered(rsp)
	snd.tooLarge = errors.Is(err, errTooLargeToBuffer)
	if err != nil && !snd.tooLarge {
		snd.finish(false)
		return snd.recordBroken(err)
	}
	snd.part = body
	snd.ended = !snd.tooLarge
	if snd.ended {
		snd.finish(true)
	}
	now := rly.clock.Now()
	rly.outliers.RecordProgress(server, now)
	fault := responseFault(rsp, rhd)
	switch {
	case fault == "" && snd.resumesStream:
		fault = "status " + strconv.Itoa(rsp.StatusCode) + " instead of the rest of the stream"
	case fault != "" && snd.ended:
		rly.outliers.RecordFailure(server, now)
	}
	if fault != "" {
		snd.finish(false)
		return errors.Errorf("backend server %s: %s", server, fault)
	}
	return snd.recordStatus(rsp, now)
}

// recordStatus records whether the backend server succeeded. It returns an error for one that another server may not make, and keeps
// the response.
func (snd *send) recordStatus(rsp *upstream.Response, now time.Time) error {
	rly, server := snd.run.relay, snd.pick.Server.ID
	switch {
	case !snd.ended:
		return nil
	case rsp.StatusCode < http.StatusInternalServerError:
		rly.outliers.RecordSuccess(server, now)
		snd.recordWriting(now, true)
		return nil
	default:
		rly.outliers.RecordFailure(server, now)
		snd.serverError = &bufferedResponse{
			server: server,
			status: rsp.StatusCode,
			header: rsp.Header,
			body:   snd.part,
		}
		return errors.Errorf("backend server %s responded with status %d", server, rsp.StatusCode)
	}
}
