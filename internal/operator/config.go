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

// ConfigStatus says which generation is accepted and where it is in force.
type ConfigStatus struct {
	// Accepted is the generation that the platform holds; 0 if none is accepted.
	Accepted uint64
	Digest   string
	// PlatformError says why the platform could not be asked; Accepted is then what this daemon has in force.
	PlatformError string
	// Complete says that every daemon on the platform's list has the accepted generation in force.
	Complete bool
	Zones    []rollout.Zone
}

// Promotion is the body of a promotion.
type Promotion struct {
	Digest string
	// Replaces is the generation that the operator means to replace, 0 for the first.
	Replaces uint64
}

func (hnd *Handler) try(rsw http.ResponseWriter, req *http.Request) {
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
	vms, err := hnd.sea.VMs(req.Context())
	if err != nil {
		hnd.answer(rsw, nil, err)
		return
	}
	trl, err := hnd.sto.Try(req.Context(), doc, trial.Run(doc, vms))
	hnd.answer(rsw, trl, err)
}

func (hnd *Handler) promote(rsw http.ResponseWriter, req *http.Request) {
	var prm Promotion
	if err := json.NewDecoder(http.MaxBytesReader(rsw, req.Body, maxOrderSize)).Decode(&prm); err != nil {
		writeError(rsw, http.StatusBadRequest, err.Error())
		return
	}
	hed, err := hnd.sto.Promote(req.Context(), prm.Digest, prm.Replaces)
	hnd.answer(rsw, hed, err)
}

func (hnd *Handler) configStatus(rsw http.ResponseWriter, req *http.Request) {
	var sta ConfigStatus
	hed, err := hnd.sto.Accepted(req.Context())
	if err != nil {
		sta.PlatformError = err.Error()
		hed = generation.Head{
			Generation: hnd.sto.InForce().Generation,
			Digest:     hnd.sto.InForce().Digest,
		}
	}
	sta.Accepted = hed.Generation
	sta.Digest = hed.Digest
	sta.Zones = hnd.sea.Rollout(req.Context(), hed.Generation)
	sta.Complete = err == nil
	for _, zon := range sta.Zones {
		if len(zon.Behind)+len(zon.Unreachable) > 0 {
			sta.Complete = false
		}
	}
	hnd.answer(rsw, sta, nil)
}

// configParts shows the parts of the accepted document, for config diff.
func (hnd *Handler) configParts(rsw http.ResponseWriter, req *http.Request) {
	hed, err := hnd.sto.Accepted(req.Context())
	hnd.answer(rsw, hed, err)
}
