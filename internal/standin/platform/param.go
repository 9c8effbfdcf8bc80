package platform

import (
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"
)

// param returns a path parameter unescaped. chi matches against the escaped path only if it differs from
// the default escaping of the path, so a parameter is otherwise unescaped already.
func param(req *http.Request, name string) string {
	raw := chi.URLParam(req, name)
	if req.URL.RawPath == "" {
		return raw
	}
	if val, err := url.PathUnescape(raw); err == nil {
		return val
	}
	return raw
}
