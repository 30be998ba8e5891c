package sidecar

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"boragefall/internal/balance"
	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/linkbudget"
	"boragefall/internal/mesh"
	"boragefall/internal/protocol"
	"boragefall/internal/retry"
	"boragefall/internal/verdict"
)

const (
	// retryBudgetShare is the share of the permitted retries that is used. The rest is
	// for nested calls of retried requests: they count as retries at the called
	// service, which can't refuse them for that.
	retryBudgetShare = 0.5
	// callRetryBudgetShare is that share for nested calls of running requests. The nested
	// calls of retried requests are charged to this budget directly (see countRequest),
	// so only a margin is reserved.
	callRetryBudgetShare = 0.8
)

// RetryBudget bounds the requests that reach a server more than once, summed over all
// nodes.
type RetryBudget struct {
	// Ratio is the number of retries permitted per request.
	Ratio float64
	// Slack is the number of retries permitted in addition, per window.
	Slack float64
}

// Body provides a request's body to each attempt.
type Body interface {
	// Open returns the body for the next attempt. It reports false if the body was
	// streamed to an earlier attempt and can't be replayed.
	Open() (io.Reader, bool)
	// Buffered reports whether the whole body is in memory.
	Buffered() bool
}

// Dispatcher sends requests to backend servers.
type Dispatcher struct {
	hop         *LastHop
	view        func() *catalog.View
	peers       Peers
	balancer    *balance.Balancer
	retryBudget RetryBudget
	// linkPort is the port on which all nodes accept links.
	linkPort string
	// dataCentre is this node's own.
	dataCentre  string
	answerSizes *linkbudget.Sizes
	// answerTimes predicts how long a request takes; drain holds the time until which this
	// node delivers answers while it is stopping.
	answerTimes *linkbudget.Times
	drain       *drainEnd
	headers     protocol.NoticeReader
	// markLeaving records that a server stated that it leaves.
	markLeaving func(*mesh.Server)
	logger      *log.Logger
	meter       Meter

	// quarantined holds the requests that a gate refused as quarantined.
	quarantined  quarantineMemory
	retryBudgets sync.Map // map[string]*retry.Budget, by service name
}

// Do sends a request until it is answered or no further attempt is permitted. Its
// errors are *verdict.Error.
func (d *Dispatcher) Do(ctx context.Context, r *contract.Request, route *mesh.Route, body Body) (*contract.Answer, *verdict.Error) {
	if d.quarantined.contains(r.Fingerprint, time.Now()) {
		// Proof: nothing was sent.
		return nil, verdict.Refuse(verdict.ReasonQuarantined, shortRetryAfter)
	}
	parent := d.hop.runs.parent(r.ID)
	r.HasPriorWork = parent != nil && parent.callAnswered.Load()
	if parent != nil {
		r.Nested, r.Rank = true, parent.rank
	}
	d.countRequest(r.Service, parent)
	t := &task{
		dispatcher: d, request: r, route: route, body: body,
		results: make(chan result),
		cancels: map[mesh.ServerID]context.CancelFunc{},
	}
	if parent != nil {
		parent.calls.begin(time.Now())
	}
	answer, err := t.run(ctx)
	if parent != nil {
		parent.calls.end(time.Now())
	}
	t.cancelExcept(answer)
	d.recordCall(parent, r, err)
	if answer == nil {
		return nil, err
	}
	if parent != nil {
		parent.callAnswered.Store(true)
	}
	answer.Body = &cancelingBody{ReadCloser: answer.Body, onClose: func() { t.cancelExcept(nil) }}
	return answer, nil
}

// isNestedCall reports whether a request is a call of a run of the server beside this node.
func (d *Dispatcher) isNestedCall(id string) bool {
	return d.hop.runs.parent(id) != nil
}

// countRequest deposits a request's share into the retry budget of its service. A
// nested call of a run that is itself a retry is charged as a retry.
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

// retryBudgetFor returns this node's retry budget for a service: its share of the slack
// at the current fleet size, and the ratio of its own requests.
func (d *Dispatcher) retryBudgetFor(service string) *retry.Budget {
	nodes := max(len(d.view().Servers), 1)
	burst := max(int(retryBudgetShare*d.retryBudget.Slack)/nodes, 1)
	if b, ok := d.retryBudgets.Load(service); ok {
		budget := b.(*retry.Budget)
		budget.SetBurst(burst)
		return budget
	}
	percent := int(retryBudgetShare * d.retryBudget.Ratio * 100)
	b, _ := d.retryBudgets.LoadOrStore(service, retry.NewBudget(percent, burst))
	return b.(*retry.Budget)
}
