package route

import (
	"net"
	"slices"
	"strings"
)

// Table is an index of one configuration. It is immutable.
type Table struct {
	Config   Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
}

// New builds the table of a configuration.
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

// Find returns the route of the host that has the longest matching path prefix. A port in the host is ignored.
func (tbl *Table) Find(host, path string) (*Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
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

// Authenticate returns the workspace that a key belongs to.
func (tbl *Table) Authenticate(key string) (*Workspace, bool) {
	wsp, ok := tbl.keys[key]
	return wsp, ok && key != ""
}

// RequiresKey reports whether requests of a route need a key. They never do if no workspaces are configured.
func (tbl *Table) RequiresKey(rte *Route) bool {
	return len(tbl.Config.Workspaces) > 0 && !rte.Public
}

// ChooseTarget returns a service according to the weights of the route's targets. The random number draw is at least 0
// and less than 1. It returns an empty string if the route has no targets.
func (rte *Route) ChooseTarget(draw float64) string {
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
