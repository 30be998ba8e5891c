package retry

import "sync"

// serviceBudgets holds the retry budget and the reroute budget of one service.
type serviceBudgets struct {
	retries  *Budget
	reroutes *Budget
}

// budgets holds the budgets of all services by service name. The names come from the
// validated configuration, which bounds their number.
type budgets struct {
	config    Config
	byService sync.Map // string -> *serviceBudgets
}

func (b *budgets) forService(service string) *serviceBudgets {
	if found, ok := b.byService.Load(service); ok {
		return found.(*serviceBudgets)
	}
	created := &serviceBudgets{
		retries:  NewBudget(b.config.RetryPercent, b.config.RetryBurst),
		reroutes: NewBudget(b.config.ReroutePercent, b.config.RerouteBurst),
	}
	found, _ := b.byService.LoadOrStore(service, created)
	return found.(*serviceBudgets)
}
