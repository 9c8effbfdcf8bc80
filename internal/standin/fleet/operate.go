package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/operator"
)

// CallOperatorAPI sends a request to the operators' interface of a daemon and decodes the JSON response into result, unless
// result is nil. It returns an error for a response status of 400 or above.
func CallOperatorAPI(ctx context.Context, ent *Entry, method, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ent.Operators+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s %s: %s: %s", method, path, res.Status, data)
	}
	if result == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(data, result))
}

// Promote runs the trial of a configuration document at a daemon and then promotes the document, which replaces
// the generation with the number replaces.
func Promote(ctx context.Context, ent *Entry, doc []byte, replaces uint64) (generation.Head, error) {
	var hed generation.Head
	var trl generation.Trial
	if err := CallOperatorAPI(ctx, ent, http.MethodPost, "/config/try", doc, &trl); err != nil {
		return hed, errors.Trace(err)
	}
	body, err := json.Marshal(operator.Promotion{
		Digest:   trl.Digest,
		Replaces: replaces,
	})
	if err != nil {
		return hed, errors.Trace(err)
	}
	return hed, errors.Trace(CallOperatorAPI(ctx, ent, http.MethodPost, "/config/promote", body, &hed))
}

// Status returns the status that a daemon reports to operators.
func Status(ctx context.Context, ent *Entry) (operator.Status, error) {
	var sta operator.Status
	return sta, errors.Trace(CallOperatorAPI(ctx, ent, http.MethodGet, "/status", nil, &sta))
}

// WaitForServingGroups waits until the daemon reports at least num replica groups that can receive requests. It returns an
// error when ctx ends first.
func WaitForServingGroups(ctx context.Context, ent *Entry, num int) error {
	for {
		sta, err := Status(ctx, ent)
		serving := 0
		for _, grp := range sta.Groups {
			if grp.Serving {
				serving++
			}
		}
		if err == nil && serving >= num {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s reports %d of %d replica groups as serving", ent.Name, serving, num)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
