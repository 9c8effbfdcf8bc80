package operator

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/rollout"
	"github.com/cumintally/cumintally/internal/trial"
	"github.com/cumintally/cumintally/pkg/document"
)

// ConfigStatus reports which generation is accepted and where it is in force.
type ConfigStatus struct {
	// Accepted is the generation that the platform stores as accepted, or 0 if there is none.
	Accepted uint64
	// Digest is the digest of that generation's document.
	Digest string
	// PlatformError is the error if the platform could not be read. Accepted is then the generation that is in
	// force at this daemon.
	PlatformError string
	// Complete reports whether the accepted generation is in force at every daemon on the platform's list.
	Complete bool
	Zones    []rollout.Zone
}

// Promotion is the request body of a promotion.
type Promotion struct {
	// Digest is the digest of a document that passed its trial.
	Digest string
	// Replaces is the generation that the operator expects to replace, 0 for the first.
	Replaces uint64
}

func (hnd *Handler) tryDocument(rsw http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rsw, req.Body, document.MaxSize))
	if err != nil {
		writeError(rsw, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	doc, err := document.Parse("document", data)
	if err != nil {
		writeError(rsw, http.StatusUnprocessableEntity, err.Error())
		return
	}
	vms, err := hnd.dependencies.ListVMs(req.Context())
	if err != nil {
		hnd.respond(rsw, nil, err)
		return
	}
	trl, err := hnd.store.RecordTrial(req.Context(), doc, trial.CheckParts(doc, vms))
	hnd.respond(rsw, trl, err)
}

func (hnd *Handler) promoteDocument(rsw http.ResponseWriter, req *http.Request) {
	var prm Promotion
	if err := json.NewDecoder(http.MaxBytesReader(rsw, req.Body, maxOrderBodySize)).Decode(&prm); err != nil {
		writeError(rsw, http.StatusBadRequest, err.Error())
		return
	}
	hed, err := hnd.store.Promote(req.Context(), prm.Digest, prm.Replaces)
	hnd.respond(rsw, hed, err)
}

func (hnd *Handler) configStatus(rsw http.ResponseWriter, req *http.Request) {
	var sta ConfigStatus
	hed, err := hnd.store.ReadAccepted(req.Context())
	if err != nil {
		sta.PlatformError = err.Error()
		hed = generation.Head{
			Generation: hnd.store.InForce().Generation,
			Digest:     hnd.store.InForce().Digest,
		}
	}
	sta.Accepted = hed.Generation
	sta.Digest = hed.Digest
	sta.Zones = hnd.dependencies.Rollout(req.Context(), hed.Generation)
	sta.Complete = err == nil
	for _, zon := range sta.Zones {
		if len(zon.Behind)+len(zon.Unreachable) > 0 {
			sta.Complete = false
		}
	}
	hnd.respond(rsw, sta, nil)
}

// configParts returns the parts of the accepted document, with which "config diff" compares.
func (hnd *Handler) configParts(rsw http.ResponseWriter, req *http.Request) {
	hed, err := hnd.store.ReadAccepted(req.Context())
	hnd.respond(rsw, hed, err)
}
