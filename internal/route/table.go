package route

import (
	"net"
	"slices"
	"strings"
)

// Table is the index of one configuration.
type Table struct {
	Config   Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
}

// New returns the table of a configuration.
func New(cfg Config) *Table {
	tbl := &Table{
		Config:   cfg,
		hosts:    map[string][]*Route{},
		services: map[string]*Service{},
		keys:     map[string]*Workspace{},
	}
	for idx := range cfg.Routes {
		rte := &cfg.Routes[idx]
		tbl.hosts[strings.ToLower(rte.Host)] = append(tbl.hosts[strings.ToLower(rte.Host)], rte)
	}
	for _, rtes := range tbl.hosts {
		slices.SortStableFunc(rtes, func(fst, snd *Route) int { return len(snd.PathPrefix) - len(fst.PathPrefix) })
	}
	for idx := range cfg.Services {
		tbl.services[cfg.Services[idx].Name] = &cfg.Services[idx]
	}
	for idx := range cfg.Workspaces {
		for _, key := range cfg.Workspaces[idx].Keys {
			tbl.keys[key] = &cfg.Workspaces[idx]
		}
	}
	return tbl
}

// Find returns the route of a host with the longest prefix of the path; a port in the host is ignored.
func (tbl *Table) Find(host, path string) (*Route, bool) {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	for _, rte := range tbl.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, rte.PathPrefix) {
			return rte, true
		}
	}
	return nil, false
}

// Service returns a service by its name.
func (tbl *Table) Service(name string) (*Service, bool) {
	svc, ok := tbl.services[name]
	return svc, ok
}

// Authenticate returns the workspace that holds a key.
func (tbl *Table) Authenticate(key string) (*Workspace, bool) {
	wsp, ok := tbl.keys[key]
	return wsp, ok && key != ""
}

// NeedsKey reports whether requests of a route need a key: only where there are workspaces at all.
func (tbl *Table) NeedsKey(rte *Route) bool {
	return len(tbl.Config.Workspaces) > 0 && !rte.Public
}

// Target returns the service for a draw between 0 and 1, by the weights of the route's targets.
func (rte *Route) Target(draw float64) string {
	sum := 0
	for _, tgt := range rte.Targets {
		sum += max(0, tgt.Weight)
	}
	left := draw * float64(sum)
	for _, tgt := range rte.Targets {
		left -= float64(max(0, tgt.Weight))
		if left < 0 {
			return tgt.Service
		}
	}
	if len(rte.Targets) == 0 {
		return ""
	}
	return rte.Targets[len(rte.Targets)-1].Service
}
