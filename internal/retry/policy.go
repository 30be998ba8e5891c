// Package retry decides whether a failed request is sent again, and where.
//
// Three rules keep attempts from multiplying over nested hops. A request that arrives
// with an attempt number above 0 is being retried by an earlier hop, so this hop does not
// retry attempts that may have run. A hop that stops after further attempts returns the
// reason retry-budget, and no earlier hop tries again. Each service has a budget that
// only its own requests fill.
package retry

// Policy decides on the retries of all requests of a node. It is safe for concurrent use.
type Policy struct {
	config  Config
	budgets budgets
}

// NewPolicy returns a Policy whose budgets start full.
func NewPolicy(cfg Config) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{config: cfg, budgets: budgets{config: cfg}}
}

// Start deposits a request in the budgets of its service and returns its Plan.
func (p *Policy) Start(r Request) *Plan {
	b := p.budgets.forService(r.Service)
	b.retries.Deposit()
	b.reroutes.Deposit()
	return &Plan{config: &p.config, budgets: b, request: r}
}
