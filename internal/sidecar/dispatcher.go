package sidecar

import (
	"context"
	"io"
	"sync"

	"github.com/phuslu/log"

	"boragefall/internal/balance"
	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/retry"
	"boragefall/internal/verdict"
)

const (
	// retryBudgetShare is the part of the permitted repeats that is used. The rest is for
	// calls of repeated runs: they count as repeats at their own service, though nobody
	// there can refuse them for that.
	retryBudgetShare = 0.5
	// callRetryBudgetShare is the same for calls of running requests. The calls of repeated
	// runs are counted there, so that only a margin is kept back.
	callRetryBudgetShare = 0.8
)

// RetryBudget bounds the requests that reach servers more than once, summed over
// all nodes.
type RetryBudget struct {
	// Ratio is the number of repeats permitted for each request.
	Ratio float64
	// Slack is the number of repeats permitted beside that in a window.
	Slack int
}

// Body yields a request's body, once for each attempt.
type Body interface {
	// Open returns the body for the next attempt. It reports false when the
	// body was streamed and is gone.
	Open() (io.Reader, bool)
	// Buffered reports that the whole body is in memory.
	Buffered() bool
}

// Dispatcher sends requests to backend servers.
type Dispatcher struct {
	hop         *LastHop
	view        func() *catalog.View
	peers       Peers
	balancer    *balance.Balancer
	retryBudget RetryBudget
	// linkPort is the port of the links of all nodes.
	linkPort    string
	answerSizes *answerSizes
	logger      *log.Logger
	meter       Meter

	retryBudgets sync.Map // service name to *retry.Budget
}

// Do sends a request until it is answered or given up. Its errors are
// *verdict.Error.
func (d *Dispatcher) Do(ctx context.Context, r *contract.Request, route *mesh.Route, body Body) (*contract.Answer, *verdict.Error) {
	parent := d.hop.runs.parent(r.ID)
	r.Invested = parent != nil && parent.callAnswered.Load()
	d.countRequest(r.Service, parent)
	t := &task{
		dispatcher: d, request: r, route: route, body: body,
		results: make(chan result, maxReroutes+route.MaxAttempts+2),
		cancels: map[mesh.ServerID]context.CancelFunc{},
	}
	answer, err := t.run(ctx)
	t.cancelExcept(answer)
	if answer == nil {
		return nil, err
	}
	if parent != nil {
		parent.callAnswered.Store(true)
	}
	answer.Body = &cancelingBody{ReadCloser: answer.Body, onClose: func() { t.cancelExcept(nil) }}
	return answer, nil
}

// countRequest adds a request's part to the repeats that its service permits. A call of a
// run that is itself a repeat counts as one.
func (d *Dispatcher) countRequest(service string, parent *run) {
	budget := d.retryBudgetFor(service)
	if parent == nil {
		budget.Deposit()
		return
	}
	budget.DepositPercent(int64(callRetryBudgetShare * d.retryBudget.Ratio * 100))
	if parent.isRetry {
		budget.Charge()
	}
}

// retryBudgetFor returns the repeats that this node may make for a service: its part
// of the slack in the fleet of the moment, and the ratio of its own requests.
func (d *Dispatcher) retryBudgetFor(service string) *retry.Budget {
	nodes := max(len(d.view().Servers), 1)
	burst := max(int(retryBudgetShare*float64(d.retryBudget.Slack))/nodes, 1)
	if b, ok := d.retryBudgets.Load(service); ok {
		budget := b.(*retry.Budget)
		budget.SetBurst(burst)
		return budget
	}
	percent := int(retryBudgetShare * d.retryBudget.Ratio * 100)
	b, _ := d.retryBudgets.LoadOrStore(service, retry.NewBudget(percent, burst))
	return b.(*retry.Budget)
}
