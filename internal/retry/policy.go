// Package retry decides whether a failed request is sent again, and where.
//
// Three rules keep attempts from multiplying. A request that arrives with an
// attempt number above 0 is being retried by a hop before, so this hop retries
// nothing that may have run. A hop that gives up after it tried says so with
// the reason retry-budget, and no hop before it tries again. Each service has a
// budget that its own requests fill.
package retry

// Policy decides for all requests of a node. It is safe for concurrent use.
type Policy struct {
	config  Config
	budgets budgets
}

// NewPolicy returns a policy with full budgets.
func NewPolicy(cfg Config) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{config: cfg, budgets: budgets{config: cfg}}
}

// Start counts a request towards its service's budgets and returns its plan.
func (p *Policy) Start(r Request) *Plan {
	b := p.budgets.forService(r.Service)
	b.retries.Deposit()
	b.reroutes.Deposit()
	return &Plan{config: &p.config, budgets: b, request: r}
}
