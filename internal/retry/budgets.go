package retry

import "sync"

// serviceBudgets are the two budgets of a service.
type serviceBudgets struct {
	retries *Budget
	moves   *Budget
}

// budgets holds the budgets by service name. Services come from the checked
// configuration, which bounds their number.
type budgets struct {
	config    Config
	byService sync.Map // string -> *serviceBudgets
}

func (b *budgets) of(service string) *serviceBudgets {
	if found, ok := b.byService.Load(service); ok {
		return found.(*serviceBudgets)
	}
	fresh := &serviceBudgets{
		retries: NewBudget(b.config.RetryPercent, b.config.RetryBurst),
		moves:   NewBudget(b.config.MovePercent, b.config.MoveBurst),
	}
	found, _ := b.byService.LoadOrStore(service, fresh)
	return found.(*serviceBudgets)
}
