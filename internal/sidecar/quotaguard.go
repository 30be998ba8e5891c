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
	// creditTimeout bounds a request for credits. Its answer is useful also when it comes
	// late, since a slow host answers late again and again.
	creditTimeout = time.Second
	// secondAfter is the time without an answer of the first node after which the second
	// one is asked as well, if callers wait.
	secondAfter = 150 * time.Millisecond
	// creditPatience is how long a caller's request waits for a credit.
	creditPatience = 400 * time.Millisecond
	// silenceAvoidance is how long a node that gave no answer is not asked for credits, and
	// refusalAvoidance that time for a node that refused the connection or declined; it is
	// being restarted.
	silenceAvoidance = time.Second
	refusalAvoidance = 250 * time.Millisecond
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
	// waiting counts the callers' requests that wait for credits.
	waiting int
	// firstAsked and secondAsked report that a request for credits to the first or the
	// second node is in progress. askErr is the error of the last one.
	firstAsked, secondAsked bool
	askErr                  error
	// changed is closed and replaced when a request for credits has ended.
	changed chan struct{}
}

// notify wakes the callers' requests that wait. The account is locked.
func (a *quotaAccount) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
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
	now := time.Now()
	a.account.Count(now)
	for giveUpAt := now.Add(creditPatience); ; now = time.Now() {
		if a.account.Take(now) {
			q.refill(a, w, now)
			return nil
		}
		// Proof, for each of these refusals: the request is refused before it is sent.
		if wait := a.account.RefusedFor(now); wait > 0 && !a.firstAsked {
			return verdict.Refuse(verdict.ReasonOverQuota, wait)
		}
		if !q.awaitCredits(ctx, a, w, giveUpAt) {
			return a.refusal(ctx)
		}
	}
}

// awaitCredits asks for credits, unless a request for them is in progress, and waits until
// one has ended. It reports false if waiting is useless. The account is locked.
func (q *quotaGuard) awaitCredits(ctx context.Context, a *quotaAccount, w *mesh.Workspace, giveUpAt time.Time) bool {
	a.waiting++
	defer func() { a.waiting-- }()
	q.refill(a, w, time.Now())
	if !a.firstAsked && !a.secondAsked {
		return false
	}
	timer := time.NewTimer(time.Until(giveUpAt))
	defer timer.Stop()
	changed := a.changed
	a.mu.Unlock()
	inTime := false
	select {
	case <-changed:
		inTime = true
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	return inTime && (a.askErr == nil || a.firstAsked || a.secondAsked)
}

// refusal returns the refusal of a request that got no credit. The account is locked.
func (a *quotaAccount) refusal(ctx context.Context) *verdict.Error {
	// Proof, for each of these refusals: the request waited for credits and is not sent.
	if err := ctx.Err(); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonCanceled, err)
	}
	if wait := a.account.RefusedFor(time.Now()); wait > 0 {
		return verdict.Refuse(verdict.ReasonOverQuota, wait)
	}
	refusal := verdict.Refuse(verdict.ReasonQuotaUnknown, noCreditsRetryAfter)
	refusal.Cause = errNoCredits
	return refusal
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
		a = &quotaAccount{changed: make(chan struct{})}
		q.accounts[workspace] = a
	}
	return a
}

// refill asks the first node for credits in the background if the account wants any and no
// request for them is in progress. The account is locked.
func (q *quotaGuard) refill(a *quotaAccount, w *mesh.Workspace, now time.Time) {
	wanted := a.account.Wanted(a.waiting, now)
	if wanted == 0 || a.firstAsked || a.secondAsked {
		return
	}
	first, second := q.local.rank(w.Name)
	if first == "" {
		a.askErr = errNoCredits
		return
	}
	if node, avoided := q.avoidance(first, now); avoided {
		if _, both := q.avoidance(second, now); !both && second != "" {
			q.askSecond(a, w, node)
			return
		}
	}
	a.firstAsked = true
	go q.askFirst(a, w, first, wanted)
}

// askFirst asks the node that ranks first. It asks the second one as well if the first
// gives no answer, or none soon.
func (q *quotaGuard) askFirst(a *quotaAccount, w *mesh.Workspace, address string, wanted int) {
	started := time.Now()
	late := time.AfterFunc(secondAfter, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.firstAsked && a.waiting > 0 {
			q.askSecond(a, w, avoidedNode{})
		}
	})
	grant, node, err := q.askNode(address, w.Name, wanted, quota.RoleHome)
	late.Stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.firstAsked, a.askErr = false, err
	a.account.RecordGrantTime(now.Sub(started))
	if err == nil {
		a.account.Add(grant, now)
	} else if a.waiting > 0 {
		q.askSecond(a, w, node)
	}
	a.notify()
}

// askSecond asks the second node in the background, given what is known of the first. The
// account is locked.
func (q *quotaGuard) askSecond(a *quotaAccount, w *mesh.Workspace, first avoidedNode) {
	_, second := q.local.rank(w.Name)
	wanted := a.account.Wanted(a.waiting, time.Now())
	if second == "" || wanted == 0 || a.secondAsked {
		return
	}
	role := quota.RoleStandIn
	if first.grantsNothing {
		role = quota.RoleSuccessor
	}
	a.secondAsked = true
	go func() {
		grant, _, err := q.askNode(second, w.Name, wanted, role)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.secondAsked, a.askErr = false, err
		if err == nil {
			a.account.Add(grant, time.Now())
		}
		a.notify()
	}()
}

// avoidance returns what is known of a node that is not to be asked now, and false if it
// may be asked.
func (q *quotaGuard) avoidance(address string, now time.Time) (avoidedNode, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	node := q.avoided[address]
	return node, now.Before(node.until)
}

// askNode asks one node for credits. If the node grants none, it returns what is known of
// the node.
func (q *quotaGuard) askNode(address, workspace string, wanted int, role quota.Role) (quota.Grant, avoidedNode, error) {
	ctx, cancel := context.WithTimeout(context.Background(), creditTimeout)
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
	node := avoidedNode{until: time.Now().Add(silenceAvoidance)}
	if err == nil || errors.Is(err, link.ErrNoListener) {
		node = avoidedNode{until: time.Now().Add(refusalAvoidance), grantsNothing: true}
	}
	q.mu.Lock()
	q.avoided[address] = node
	q.mu.Unlock()
	q.logger.Info().Str("part", "quota").Str("peer", address).Str("workspace", workspace).Bool("grants_nothing", node.grantsNothing).
		AnErr("cause", err).Msg("node gives no credits")
	return quota.Grant{}, node, errNoCredits
}
