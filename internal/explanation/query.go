package explanation

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maxParts bounds the parts of a prompt in a query.
const maxParts = 64

// Query describes the request to be explained.
type Query struct {
	Host string
	Path string
	// Workspace is the name of the workspace that sends the request, empty for none.
	Workspace string
	Model     string
	// PromptTokens is the number of tokens in the prompt, ExpectedTokens that of the response.
	PromptTokens   int
	ExpectedTokens int
	// Parts holds the parts of the prompt that other requests may share, each as ID:TOKENS.
	Parts []string
}

// Validate returns an error that names the first invalid value.
func (qry *Query) Validate() error {
	switch {
	case qry.Host == "":
		return errors.NotValidf("empty Host")
	case !strings.HasPrefix(qry.Path, "/"):
		return errors.NotValidf("Path %q without a leading slash", qry.Path)
	case qry.PromptTokens < 0 || qry.ExpectedTokens < 0:
		return errors.NotValidf("PromptTokens or ExpectedTokens below 0")
	case len(qry.Parts) > maxParts:
		return errors.NotValidf("more than %d Parts", maxParts)
	}
	for _, part := range qry.Parts {
		if _, _, err := splitPart(part); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// SharedParts returns the IDs and the numbers of tokens of the parts.
func (qry *Query) SharedParts() (ids []string, tokens []int) {
	for _, part := range qry.Parts {
		if id, num, err := splitPart(part); err == nil {
			ids = append(ids, id)
			tokens = append(tokens, num)
		}
	}
	return ids, tokens
}

func splitPart(part string) (id string, tokens int, err error) {
	id, count, _ := strings.Cut(part, ":")
	tokens, err = strconv.Atoi(count)
	if id == "" || err != nil || tokens < 0 {
		return "", 0, errors.NotValidf("part %q (expected ID:TOKENS)", part)
	}
	return strings.ToLower(id), tokens, nil
}

// Values returns the query as parameters of a URL.
func (qry *Query) Values() url.Values {
	return url.Values{
		"Host":           {qry.Host},
		"Path":           {qry.Path},
		"Workspace":      {qry.Workspace},
		"Model":          {qry.Model},
		"PromptTokens":   {strconv.Itoa(qry.PromptTokens)},
		"ExpectedTokens": {strconv.Itoa(qry.ExpectedTokens)},
		"Part":           qry.Parts,
	}
}

// ParseValues returns the query of the parameters of a URL.
func ParseValues(vals url.Values) (Query, error) {
	qry := Query{
		Host:      vals.Get("Host"),
		Path:      vals.Get("Path"),
		Workspace: vals.Get("Workspace"),
		Model:     vals.Get("Model"),
		Parts:     vals["Part"],
	}
	for name, dst := range map[string]*int{
		"PromptTokens":   &qry.PromptTokens,
		"ExpectedTokens": &qry.ExpectedTokens,
	} {
		if vals.Get(name) == "" {
			continue
		}
		num, err := strconv.Atoi(vals.Get(name))
		if err != nil {
			return Query{}, errors.NotValidf("%s %q (expected a whole number)", name, vals.Get(name))
		}
		*dst = num
	}
	return qry, errors.Trace(qry.Validate())
}
