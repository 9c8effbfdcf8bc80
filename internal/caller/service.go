package caller

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/servicecall"
)

// callService forwards a call to a service that is not a model.
func (hnd *Handler) callService(rsw http.ResponseWriter, req *http.Request) {
	body, release, ok := hnd.readBody(rsw, req)
	if !ok {
		return
	}
	defer release()
	ddl, ref := hnd.deadline(req)
	if ref != nil {
		writeProblem(rsw, req, ref)
		return
	}
	wsp := callerWorkspace(req.Context())
	rsp, err := hnd.services.Call(req.Context(), servicecall.Request{
		RequestID:      requestID(req.Context()),
		Workspace:      wsp.Name,
		Service:        chi.URLParam(req, "service"),
		Method:         req.Method,
		Path:           strings.TrimPrefix(req.URL.EscapedPath(), "/services/"+chi.URLParam(req, "service")),
		Query:          req.URL.RawQuery,
		ContentType:    req.Header.Get("Content-Type"),
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
		Body:           body,
		Deadline:       ddl,
	})
	if (err == nil || isSystemFailure(asRefusal(err))) && req.Context().Err() == nil {
		hnd.recorder.RecordResponse(chi.URLParam(req, "service"), wsp.Name, err == nil)
	}
	if err != nil {
		hnd.logger.Info("service call failed",
			zap.String("request", requestID(req.Context())),
			zap.String("workspace", wsp.Name),
			zap.Error(errors.Cause(err)),
		)
		writeProblem(rsw, req, asRefusal(err))
		return
	}
	if rsp.ContentType != "" {
		rsw.Header().Set("Content-Type", rsp.ContentType)
	}
	rsw.WriteHeader(rsp.Status)
	_, _ = rsw.Write(rsp.Body)
}
