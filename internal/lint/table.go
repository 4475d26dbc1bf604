package lint

import (
	"regexp"
	"strings"

	"auburnstep.example/auburnstep/internal/routing"
)

// Instances are properties of the instances that a table is meant for.
type Instances struct {
	// BodyMemory is the memory for the bodies of all requests of an instance together, in
	// bytes; 0 if it is not known.
	BodyMemory int64
}

// validHost matches a canonical host that a request can carry: a name or an IP address.
var validHost = regexp.MustCompile(`^([a-z0-9_.-]+|\[?[0-9a-f:.]+\]?)$`)

// Table checks a routing table. It finds an error exactly if Validate refuses the table.
func Table(t *routing.Table, instances Instances) []Finding {
	c := &collector{}
	if t.Version == 0 {
		c.error(CodeVersionMissing, "version", "The version is missing or 0.")
	}
	c.services(t)
	c.routes(t)
	c.customers(t)
	c.limits(t, instances)
	Sort(c.findings)
	return c.findings
}

func (c *collector) services(t *routing.Table) {
	used := make(map[string]bool)
	for _, r := range t.Routes {
		for _, target := range r.Targets {
			used[target.Service] = true
		}
	}
	seen := make(map[string]bool)
	for i, s := range t.Services {
		path := entryPath("services", s.Name, i)
		switch {
		case s.Name == "":
			c.error(CodeServiceName, path, "The service has no name.")
		case seen[s.Name]:
			c.error(CodeServiceName, path, "The service is listed twice.")
		case !used[s.Name]:
			c.warn(CodeServiceUnused, path, "No route leads to the service.")
		}
		seen[s.Name] = true
		if s.Engine != nil && s.Engine.Slots <= 0 {
			c.warn(CodeEngineWithoutSlots, path, "The engines have %d slots; there must be at least 1.", s.Engine.Slots)
		}
		if s.Scale != nil && (s.Scale.Min < 0 || s.Scale.Max < s.Scale.Min) {
			c.warn(CodeScaleBounds, path, "The number of endpoints is bounded to %d at least and %d at most.", s.Scale.Min, s.Scale.Max)
		}
	}
}

func (c *collector) routes(t *routing.Table) {
	services := make(map[string]bool)
	for _, s := range t.Services {
		services[s.Name] = true
	}
	names, places := make(map[string]bool), make(map[string]string)
	for i := range t.Routes {
		r := &t.Routes[i]
		path := entryPath("routes", r.Name, i)
		c.route(r, path)
		c.routeTimes(r, path)
		c.targets(r, path, services)
		if r.Name == "" || names[r.Name] {
			c.warn(CodeRouteName, path, "The route has no name or that of another, so that events and metrics do not tell them apart.")
		}
		names[r.Name] = true
		place := routing.CanonicalHost(r.Host) + r.Prefix
		if other, ok := places[place]; ok {
			c.error(CodeRouteHidden, path, "The route can never match, since %s has the same host and prefix.", other)
		} else {
			places[place] = path
		}
	}
}

func (c *collector) route(r *routing.Route, path string) {
	switch host := routing.CanonicalHost(r.Host); {
	case r.Host == "":
		c.error(CodeRouteHost, path, "The host is missing.")
	case !validHost.MatchString(host):
		c.warn(CodeHostNeverMatches, path, "The route can never match, since no request has the host %q.", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.error(CodeRoutePrefix, path, "The prefix %q does not begin and end with a slash.", r.Prefix)
	}
	stream := r.Kind == routing.Stream
	if !stream && r.Kind != routing.Idempotent && r.Kind != routing.AtMostOnce {
		c.error(CodeRouteKind, path, "The kind %q is unknown; there are %s, %s and %s.", r.Kind, routing.Idempotent, routing.AtMostOnce, routing.Stream)
		return
	}
	if r.Attempts > 1 && !r.Repeatable() {
		c.warn(CodeAttemptsUnused, path, "The route allows %d attempts, but its requests must not run twice.", r.Attempts)
	}
	if r.Resumable && !stream {
		c.warn(CodeResumableUnused, path, "The route is resumable, which has an effect on streams only.")
	}
	if r.MaxPauseMs > 0 && !stream {
		c.warn(CodePauseUnused, path, "The route has a longest pause, which has an effect on streams only.")
	}
}

func (c *collector) routeTimes(r *routing.Route, path string) {
	switch {
	case r.TimeoutMs <= 0:
		c.error(CodeRouteTimeout, path, "The timeout is %d ms; it must be above 0.", r.TimeoutMs)
	case r.ObjectiveMs > r.TimeoutMs:
		c.warn(CodeTimeoutBelow, path, "The timeout of %d ms is below the objective of %d ms.", r.TimeoutMs, r.ObjectiveMs)
	case r.MaxPauseMs > r.TimeoutMs:
		c.warn(CodePauseAboveTimeout, path, "The longest pause of %d ms is above the timeout of %d ms.", r.MaxPauseMs, r.TimeoutMs)
	}
	if r.ObjectiveMs < 0 || r.Attempts < 0 || r.MaxPauseMs < 0 {
		c.error(CodeRouteNegative, path, "The objective, the attempts or the longest pause is negative.")
	}
}

func (c *collector) targets(r *routing.Route, path string, services map[string]bool) {
	total := 0
	for _, target := range r.Targets {
		switch {
		case !services[target.Service]:
			c.error(CodeTargetUnknown, path, "The service %q is not listed.", target.Service)
		case target.Weight < 0:
			c.error(CodeTargetWeight, path, "The weight %d of the service %q is negative.", target.Weight, target.Service)
		case target.Weight == 0 && len(r.Targets) > 1:
			c.warn(CodeTargetNeverUsed, path, "No request goes to the service %q, since its weight is 0.", target.Service)
		}
		total += target.Weight
	}
	if total == 0 {
		c.error(CodeRouteWithout, path, "The route has no service with a weight above 0.")
	}
}

func (c *collector) customers(t *routing.Table) {
	names, holders := make(map[string]bool), make(map[string]string)
	keys := 0
	for i, customer := range t.Customers {
		path := entryPath("customers", customer.Name, i)
		switch {
		case customer.Name == "":
			c.error(CodeCustomerName, path, "The customer has no name.")
		case names[customer.Name]:
			c.warn(CodeCustomerTwice, path, "The customer is listed twice.")
		}
		names[customer.Name] = true
		if len(customer.Keys) == 0 {
			c.warn(CodeCustomerWithoutKeys, path, "The customer has no key, so that no request can be its own.")
		}
		for _, k := range customer.Keys {
			keys++
			if k == "" {
				c.error(CodeCustomerKey, path, "The customer has an empty key.")
			} else if other, ok := holders[k]; ok && other != customer.Name {
				c.error(CodeCustomerSameKey, path, "The customer shares a key with %s.", entryPath("customers", other, 0))
			}
			holders[k] = customer.Name
		}
	}
	for i, r := range t.Routes {
		if t.KeyRequired && keys == 0 && !r.Public {
			c.warn(CodeNobodyAdmitted, entryPath("routes", r.Name, i), "The route admits nobody, since requests need a key and no customer has one.")
		}
	}
}

func (c *collector) limits(t *routing.Table, instances Instances) {
	l := t.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeoutMs < 0 || l.IdleTimeoutMs < 0 {
		c.warn(CodeLimitNegative, "limits", "A negative limit has no effect.")
	}
	if instances.BodyMemory > 0 && l.BodyBytes > instances.BodyMemory {
		c.warn(CodeBodyAboveMemory, "limits", "Bodies of up to %d bytes are allowed, but an instance has %d bytes for all bodies together.", l.BodyBytes, instances.BodyMemory)
	}
}
