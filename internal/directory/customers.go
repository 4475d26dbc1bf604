package directory

import (
	"math"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/fairshare"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

var (
	eventExcessBegan  = event.Define(7011, "customer-excess-began", event.Info, "a customer exceeds its usual load; part of its requests is refused while the service is overloaded")
	eventExcessEnded  = event.Define(7012, "customer-excess-ended", event.Info, "a customer does not exceed its usual load any more, or has done so for so long that it counts as usual")
	eventBadCustomers = event.Define(7013, "customer-rates-malformed", event.Warn, "an entry or a control member sent malformed rates of customers; they are ignored")
)

// SetScope sets the scope of metrics. It must be called before Start.
func (s *Service) SetScope(scope tally.Scope) {
	s.scope = scope
}

// collectCustomers merges the rates of a poll and adds the customers that exceed theirs to the
// response. The caller must hold s.mu and pass the changes to reportExcess.
func (s *Service) collectCustomers(now time.Time, req *directoryv1.SyncRequest, res *directoryv1.SyncResponse) []fairshare.Change {
	m := req.GetCustomerRates()
	if m == nil || req.GetSelf().GetInstance() == "" {
		return nil
	}
	rates, err := unpackRates(m)
	if err != nil {
		s.events.Emit(eventBadCustomers, event.F("entry", req.Self.Instance), event.F("error", err))
		return nil
	}
	res.CustomerExcess = packExcess(s.customers.Receive(now, req.Self.Instance, rates))
	return s.customers.Changes()
}

// reportExcess emits the events of changes.
func (s *Service) reportExcess(changes []fairshare.Change) {
	for _, c := range changes {
		kind := eventExcessEnded
		if c.Began {
			kind = eventExcessBegan
		}
		s.events.Emit(kind, event.F("service_hash", c.ServiceHash()), event.F("customer_hash", c.CustomerHash()),
			event.F("rate", math.Round(c.Rate)), event.F("usual", math.Round(c.Usual)), event.F("refuse", c.Refuse))
	}
	if len(changes) > 0 && s.scope != nil {
		s.mu.Lock()
		n := s.customers.Exceeding()
		s.mu.Unlock()
		s.scope.Gauge("fairshare_customers_exceeding").Update(float64(n))
	}
}

// addCustomers adds the rates of customers to a poll for loads.
func (c *Client) addCustomers(now time.Time, req *directoryv1.SyncRequest) {
	if c.options.Customers != nil {
		req.CustomerRates = packRates(c.options.Customers.Report(now))
	}
}

// mergeCustomers uses the response to a poll that carried rates. The age of the response
// counts from the poll.
func (c *Client) mergeCustomers(polledAt time.Time, req *directoryv1.SyncRequest, res *directoryv1.SyncResponse) {
	if req.CustomerRates == nil {
		return
	}
	excess, err := unpackExcess(res.GetCustomerExcess())
	if err != nil {
		c.options.Events.Emit(eventBadCustomers, event.F("error", err))
		return
	}
	c.options.Customers.SetExcess(polledAt, excess)
}

// packRates returns nil if there are none.
func packRates(rates []fairshare.Rate) *directoryv1.CustomerRates {
	if len(rates) == 0 {
		return nil
	}
	m := &directoryv1.CustomerRates{}
	for _, r := range rates {
		m.Services, m.Customers = append(m.Services, r.Service), append(m.Customers, r.Customer)
		m.Per_1000S = append(m.Per_1000S, uint32(min(math.MaxUint32, 1000*r.PerSecond)))
	}
	return m
}

func unpackRates(m *directoryv1.CustomerRates) ([]fairshare.Rate, error) {
	n := len(m.GetServices())
	if len(m.GetCustomers()) != n || len(m.GetPer_1000S()) != n {
		return nil, Error.New("rates of %d services have columns of %d and %d", n, len(m.GetCustomers()), len(m.GetPer_1000S()))
	}
	out := make([]fairshare.Rate, n)
	for i := range out {
		out[i] = fairshare.Rate{Key: fairshare.Key{Service: m.Services[i], Customer: m.Customers[i]}, PerSecond: float64(m.Per_1000S[i]) / 1000}
	}
	return out, nil
}

// packExcess returns nil if there is none.
func packExcess(excess []fairshare.Excess) *directoryv1.CustomerExcess {
	if len(excess) == 0 {
		return nil
	}
	m := &directoryv1.CustomerExcess{}
	for _, x := range excess {
		m.Services, m.Customers = append(m.Services, x.Service), append(m.Customers, x.Customer)
		m.RefusePercent = append(m.RefusePercent, uint32(math.Round(100*x.Refuse)))
	}
	return m
}

func unpackExcess(m *directoryv1.CustomerExcess) ([]fairshare.Excess, error) {
	n := len(m.GetServices())
	if len(m.GetCustomers()) != n || len(m.GetRefusePercent()) != n {
		return nil, Error.New("excess at %d services has columns of %d and %d", n, len(m.GetCustomers()), len(m.GetRefusePercent()))
	}
	out := make([]fairshare.Excess, n)
	for i := range out {
		out[i] = fairshare.Excess{Key: fairshare.Key{Service: m.Services[i], Customer: m.Customers[i]}, Refuse: float64(m.RefusePercent[i]) / 100}
	}
	return out, nil
}
