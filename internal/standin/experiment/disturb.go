package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/load"
)

// workspaces are three large workspaces with different shares and priorities, and a small one.
var workspaces = []load.Workspace{
	{Name: "polishing", Key: fleet.CallerKey, Share: 4, Priority: 5},
	{Name: "inspection", Key: "caller-key-of-inspection", Share: 4, Priority: 3},
	{Name: "archive", Key: "caller-key-of-the-archive", Share: 3, Priority: 1},
	{Name: "visitors", Key: "caller-key-of-the-visitors", Share: 1, Priority: 3},
}

// newDocument returns the configuration document for a number of availability zones.
func newDocument(zones int) string {
	var doc strings.Builder
	doc.WriteString("AvailabilityZones:\n")
	for _, zon := range zoneNames(zones) {
		fmt.Fprintf(&doc, "  - {Name: %s, Region: reykjanes}\n", zon)
	}
	fmt.Fprintf(&doc, "Models:\n  - {Name: lap-recipes, Version: \"3\", VMsPerGroup: %d, ColdLimit: %d, WarmLimit: %d}\nGroups:\n",
		vmsPerReplica, coldLimit, warmLimit)
	for idx, zon := range zoneNames(zones) {
		fmt.Fprintf(&doc, "  - {Name: recipes-%d, Model: lap-recipes, AvailabilityZone: %s, Replicas: %d}\n", idx+1, zon, replicasPerZone)
	}
	doc.WriteString("Workspaces:\n")
	for _, wsp := range workspaces {
		sum := sha256.Sum256([]byte(wsp.Key))
		fmt.Fprintf(&doc, "  - {Name: %s, KeyHashes: [%s], Share: %d, Priority: %d}\n", wsp.Name, hex.EncodeToString(sum[:]), wsp.Share, wsp.Priority)
	}
	return doc.String()
}

// rankZero returns the first engine of rank 0 that is in a group.
func (run *Run) rankZero(ctx context.Context) (*fleet.Engine, error) {
	for _, eng := range run.fleet.Engines {
		var rep backend.Report
		if err := getJSON(ctx, "http://"+eng.Address+"/report", "", &rep); err != nil {
			return nil, errors.Trace(err)
		}
		if rep.Group != "" && rep.Rank == 0 {
			return eng, nil
		}
	}
	return nil, errors.NotFoundf("an engine of rank 0")
}

func turnCold(ctx context.Context, run *Run) error {
	eng, err := run.rankZero(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	run.coldEngine = eng
	return run.fleet.SetFaults(ctx, eng.Process, engine.Faults{TurnCold: true})
}

func slowDown(ctx context.Context, run *Run) error {
	eng, err := run.rankZero(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	return run.fleet.SetFaults(ctx, eng.Process, engine.Faults{Stretch: 3})
}

func killDaemon(_ context.Context, run *Run) error {
	return run.fleet.Entries[0].Kill()
}

func takeZoneOut(ctx context.Context, run *Run) error {
	return run.postZoneOrder(ctx, `{"Out":true}`)
}

func bringZoneIn(ctx context.Context, run *Run) error {
	return run.postZoneOrder(ctx, `{"Out":false}`)
}

func (run *Run) postZoneOrder(ctx context.Context, order string) error {
	return fleet.CallOperatorAPI(ctx, run.fleet.Entries[0], http.MethodPost, "/zones/reykjanes-1", []byte(order), nil)
}

func fetchColdMost(ctx context.Context, eng *fleet.Engine) (int, error) {
	var num int
	return num, errors.Trace(getJSON(ctx, "http://"+eng.Address+"/most", "", &num))
}

func getJSON(ctx context.Context, url, key string, val any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", url, res.Status)
	}
	return errors.Trace(json.NewDecoder(res.Body).Decode(val))
}
