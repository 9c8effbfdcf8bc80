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

// operatorClient is a client of the interface for operators of an entry VM.
type operatorClient struct {
	address string
	key     string
}

func (opc *operatorClient) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:        "operator",
			Usage:       "IP:port of the operators' interface of any entry VM",
			Value:       "127.0.0.1:8081",
			Sources:     cli.EnvVars("CUMINTALLY_OPERATOR"),
			Destination: &opc.address,
		},
		&cli.StringFlag{
			Name:        "operator-key",
			Usage:       "bearer key of the operators' interface",
			Sources:     cli.EnvVars("CUMINTALLY_OPERATORS_KEY"),
			Destination: &opc.key,
		},
	}
}

// call sends a request with the given body, which may be nil, and returns the body of the response.
func (opc *operatorClient) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+opc.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+opc.key)
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
		var rsp struct{ Error string }
		if json.Unmarshal(data, &rsp) != nil || rsp.Error == "" {
			rsp.Error = strings.TrimSpace(string(data))
		}
		return nil, errors.Errorf("%s: %s", res.Status, rsp.Error)
	}
	return data, nil
}

// printJSON writes a JSON document with indentation.
func printJSON(cmd *cli.Command, data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return errors.Trace(err)
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(cmd.Root().Writer)
	return errors.Trace(err)
}
