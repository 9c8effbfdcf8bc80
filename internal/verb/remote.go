package verb

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// remote is the operators' interface of an entry VM.
type remote struct {
	address string
	key     string
}

func (rem *remote) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:        "operator",
			Usage:       "IP:port of the operators' interface of any entry VM",
			Value:       "127.0.0.1:8081",
			Sources:     cli.EnvVars("CUMINTALLY_OPERATOR"),
			Destination: &rem.address,
		},
		&cli.StringFlag{
			Name:        "operator-key",
			Usage:       "bearer key of the operators' interface",
			Sources:     cli.EnvVars("CUMINTALLY_OPERATORS_KEY"),
			Destination: &rem.key,
		},
	}
}

// call sends body, unless it is nil, and returns the answer's body.
func (rem *remote) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+rem.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+rem.key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		var ans struct{ Error string }
		if json.Unmarshal(data, &ans) != nil || ans.Error == "" {
			ans.Error = strings.TrimSpace(string(data))
		}
		return nil, errors.Errorf("%s: %s", res.Status, ans.Error)
	}
	return data, nil
}

// printJSON writes an answer as indented JSON.
func printJSON(cmd *cli.Command, data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return errors.Trace(err)
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(cmd.Root().Writer)
	return errors.Trace(err)
}
