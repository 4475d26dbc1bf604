package routing

import (
	"net"
	"slices"
	"strings"
)

// Index provides the lookups in one table. It is immutable.
type Index struct {
	Table     *Table
	byHost    map[string][]*Route
	customers map[string]*Customer
	services  map[string]*Service
	// priorities holds, by service, the priorities of the routes to it.
	priorities map[string]map[int]bool
}

// NewIndex returns the index of a valid table.
func NewIndex(t *Table) *Index {
	x := &Index{
		Table: t, byHost: make(map[string][]*Route), customers: make(map[string]*Customer), services: make(map[string]*Service),
		priorities: make(map[string]map[int]bool),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := CanonicalHost(r.Host)
		x.byHost[host] = append(x.byHost[host], r)
		for _, target := range r.Targets {
			if x.priorities[target.Service] == nil {
				x.priorities[target.Service] = make(map[int]bool)
			}
			x.priorities[target.Service][r.Priority] = true
		}
	}
	for _, routes := range x.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Customers {
		for _, k := range t.Customers[i].Keys {
			x.customers[k] = &t.Customers[i]
		}
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	return x
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (x *Index) Match(host, path string) *Route {
	for _, r := range x.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the customer that holds a key, or nil.
func (x *Index) Customer(key string) *Customer { return x.customers[key] }

// Service returns the service with a name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// CanonicalHost converts a host name to lower case and removes a port and a trailing dot.
func CanonicalHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

// UsesPriority reports whether any route to the service has the given priority.
func (x *Index) UsesPriority(service string, priority int) bool {
	return x.priorities[service][priority]
}
