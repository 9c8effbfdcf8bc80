package platform

import (
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"
)

// param returns an unescaped path parameter. chi matches against the escaped path only if that differs from the default
// escaping of the path. In the other case the parameter is already unescaped.
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
