package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"boragefall/internal/link"
	"boragefall/internal/mesh"
	"boragefall/internal/quota"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

const (
	// creditTimeout bounds a request for credits; callers' requests wait meanwhile.
	creditTimeout = 200 * time.Millisecond
	// avoidanceTime is how long a node that gave no answer is not asked for credits.
	avoidanceTime = time.Second
	// noCreditsRetryAfter is the time in which the nodes that keep a quota may be
	// reachable again.
	noCreditsRetryAfter = 200 * time.Millisecond
)

// errNoCredits reports that no node that keeps the workspace's quota answered.
var errNoCredits = eris.New("no node that keeps the quota answers")

// creditSource grants credits of quotas.
type creditSource interface {
	Credits(ctx context.Context, address string, m *wire.CreditRequest) (*wire.CreditAnswer, error)
}

// quotaGuard admits the callers' requests of this host within the quotas of their
// workspaces. It is safe for concurrent use.
type quotaGuard struct {
	// self is the link address of this node; local answers for it.
	self   string
	local  *quotaLedger
	peers  creditSource
	logger *log.Logger

	mu       sync.Mutex
	accounts map[string]*quotaAccount
	// avoided holds the nodes that gave no answer. A node that surely grants nothing is
	// marked as such.
	avoided map[string]avoidedNode
}

// avoidedNode is a node that is not asked for credits for a while.
type avoidedNode struct {
	until time.Time
	// grantsNothing reports that the node proved that it grants nothing: it declined, or
	// its process has ended.
	grantsNothing bool
}

// quotaAccount is what this node holds of one workspace.
type quotaAccount struct {
	mu      sync.Mutex
	account quota.Account
	// asking is closed at the end of the request for credits in progress; nil if there
	// is none. askErr is the error of the last one.
	asking chan struct{}
	askErr error
	// waiting counts the callers' requests that wait for credits.
	waiting int
}

func newQuotaGuard(self string, local *quotaLedger, peers creditSource, logger *log.Logger) *quotaGuard {
	return &quotaGuard{
		self: self, local: local, peers: peers, logger: logger,
		accounts: map[string]*quotaAccount{}, avoided: map[string]avoidedNode{},
	}
}

// Admit charges a request to its workspace's quota. It returns a refusal if the quota is
// used up or if no node answers for it.
func (q *quotaGuard) Admit(ctx context.Context, w *mesh.Workspace) *verdict.Error {
	if w == nil || !w.Quota.Limited() {
		return nil
	}
	a := q.accountOf(w.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Count(time.Now())
	for {
		now := time.Now()
		if a.account.Take(now) {
			q.refill(a, w, now)
			return nil
		}
		// Proof, for each of these refusals: the request is refused before it is sent.
		if wait := a.account.RefusedFor(now); wait > 0 {
			return verdict.Refuse(verdict.ReasonOverQuota, wait)
		}
		if refusal := q.awaitCredits(ctx, a, w); refusal != nil {
			return refusal
		}
	}
}

// Refund returns the charge of a request that did not run.
func (q *quotaGuard) Refund(w *mesh.Workspace) {
	if w == nil || !w.Quota.Limited() {
		return
	}
	a := q.accountOf(w.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Refund(time.Now())
}

func (q *quotaGuard) accountOf(workspace string) *quotaAccount {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[workspace]
	if a == nil {
		a = &quotaAccount{}
		q.accounts[workspace] = a
	}
	return a
}

// awaitCredits waits for the end of a request for credits. The account is locked.
func (q *quotaGuard) awaitCredits(ctx context.Context, a *quotaAccount, w *mesh.Workspace) *verdict.Error {
	a.waiting++
	q.refill(a, w, time.Now())
	asking := a.asking
	a.mu.Unlock()
	var err error
	select {
	case <-asking:
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.mu.Lock()
	a.waiting--
	if err != nil {
		// Proof: the request waited for credits and is not sent.
		return verdict.New(verdict.NotRun, verdict.ReasonCanceled, err)
	}
	if a.askErr != nil {
		// Proof: the request is refused before it is sent.
		refusal := verdict.Refuse(verdict.ReasonLacksResource, noCreditsRetryAfter)
		refusal.Cause = a.askErr
		return refusal
	}
	return nil
}

// refill asks for credits in the background if the account wants any. The account is
// locked.
func (q *quotaGuard) refill(a *quotaAccount, w *mesh.Workspace, now time.Time) {
	wanted := a.account.Wanted(a.waiting, now)
	if a.asking != nil || wanted == 0 {
		return
	}
	done := make(chan struct{})
	a.asking = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*creditTimeout)
		defer cancel()
		grant, err := q.ask(ctx, w, wanted)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.askErr = err
		if err == nil {
			a.account.Add(grant, time.Now())
		}
		a.asking = nil
		close(done)
	}()
}

// ask asks the node that ranks first for the workspace, and the second one if the first
// gives no answer.
func (q *quotaGuard) ask(ctx context.Context, w *mesh.Workspace, wanted int) (quota.Grant, error) {
	first, second := q.local.rank(w.Name)
	if first == "" {
		return quota.Grant{}, errNoCredits
	}
	grant, avoided, err := q.askNode(ctx, first, w.Name, wanted, quota.RoleHome)
	if err == nil {
		return grant, nil
	}
	if second == "" {
		return quota.Grant{}, err
	}
	role := quota.RoleStandIn
	if avoided.grantsNothing {
		role = quota.RoleSuccessor
	}
	grant, _, err = q.askNode(ctx, second, w.Name, wanted, role)
	return grant, err
}

// askNode asks one node, unless it is avoided.
func (q *quotaGuard) askNode(ctx context.Context, address, workspace string, wanted int, role quota.Role) (quota.Grant, avoidedNode, error) {
	q.mu.Lock()
	avoided, ok := q.avoided[address]
	q.mu.Unlock()
	if ok && time.Now().Before(avoided.until) {
		return quota.Grant{}, avoided, errNoCredits
	}
	ctx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	request := &wire.CreditRequest{Workspace: workspace, Wanted: uint32(wanted), Role: uint32(role)}
	var answer *wire.CreditAnswer
	var err error
	if address == q.self {
		answer = q.local.answer(request)
	} else {
		answer, err = q.peers.Credits(ctx, address, request)
	}
	if err == nil && !answer.GetDeclined() {
		return quota.Grant{Credits: int(answer.GetGranted()), RetryIn: time.Duration(answer.GetWaitMillis()) * time.Millisecond}, avoidedNode{}, nil
	}
	avoided = avoidedNode{until: time.Now().Add(avoidanceTime), grantsNothing: err == nil || errors.Is(err, link.ErrNoListener)}
	q.mu.Lock()
	q.avoided[address] = avoided
	q.mu.Unlock()
	q.logger.Info().Str("part", "quota").Str("peer", address).Str("workspace", workspace).Bool("grants_nothing", avoided.grantsNothing).
		AnErr("cause", err).Msg("node gives no credits")
	return quota.Grant{}, avoided, errNoCredits
}
