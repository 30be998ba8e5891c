package sidecar

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"boragefall/internal/balance"
	"boragefall/internal/catalog"
	"boragefall/internal/contract"
	"boragefall/internal/mesh"
	"boragefall/internal/verdict"
)

// ChoicePath is the path on the admin address that explains the choice of a server.
const ChoicePath = "/explain-choice"

// maxChoiceDeadline bounds the deadline of a query; no route waits longer.
const maxChoiceDeadline = 24 * time.Hour

// Reasons for which a listed server is no candidate.
const (
	excludedDraining  = "draining"
	excludedLeaving   = "leaving"
	excludedWithheld  = "withheld after the store was restored"
	excludedEvacuated = "data centre evacuated"
	excludedReplaced  = "replaced at its address"
)

// Ways in which the service of an explanation was found.
const (
	serviceOnly   = "the only destination"
	serviceNext   = "next of the split"
	serviceLikely = "largest weight of the split; no request was counted yet"
	serviceAsked  = "as asked"
)

// ChoiceQuery is a request that is not sent.
type ChoiceQuery struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method"`
	// BodyBytes is the size of the body.
	BodyBytes int64 `json:"bodyBytes"`
	// DeadlineMs is how long the caller waits; 0 means as long as the route allows.
	DeadlineMs int64 `json:"deadlineMs"`
	// Service selects a destination of a split; empty means the next one.
	Service string `json:"service,omitempty"`
}

// Values returns the query as parameters of ChoicePath.
func (q *ChoiceQuery) Values() url.Values {
	return url.Values{
		"host": {q.Host}, "path": {q.Path}, "method": {q.Method}, "body": {strconv.FormatInt(q.BodyBytes, 10)},
		"deadline-ms": {strconv.FormatInt(q.DeadlineMs, 10)}, "service": {q.Service},
	}
}

// Check returns an error that says which part of the query is invalid.
func (q *ChoiceQuery) Check() error {
	switch {
	case q.Host == "":
		return eris.New("host is empty")
	case !strings.HasPrefix(q.Path, "/"):
		return eris.Errorf("path holds %q; it begins with a slash", q.Path)
	case q.BodyBytes < 0:
		return eris.New("body is negative")
	case q.DeadlineMs < 0 || q.DeadlineMs > maxChoiceDeadline.Milliseconds():
		return eris.Errorf("deadline is negative or above %s", maxChoiceDeadline)
	}
	return nil
}

func parseChoiceQuery(v url.Values) (*ChoiceQuery, error) {
	q := &ChoiceQuery{Host: v.Get("host"), Path: v.Get("path"), Method: v.Get("method"), Service: v.Get("service")}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	for name, field := range map[string]*int64{"body": &q.BodyBytes, "deadline-ms": &q.DeadlineMs} {
		if !v.Has(name) {
			continue
		}
		n, err := strconv.ParseInt(v.Get(name), 10, 64)
		if err != nil {
			return nil, eris.Errorf("%s holds %q; it takes an integer", name, v.Get(name))
		}
		*field = n
	}
	return q, q.Check()
}

// ChoiceExplanation says where a request would go now, and why.
type ChoiceExplanation struct {
	Node          string       `json:"node"`
	DataCentre    string       `json:"dataCentre"`
	At            time.Time    `json:"at"`
	ConfigVersion uint64       `json:"configVersion"`
	StoreEra      uint64       `json:"storeEra"`
	StoreRevision uint64       `json:"storeRevision"`
	StoreAgeMs    float64      `json:"storeAgeMs"`
	Request       *ChoiceQuery `json:"request"`
	// Refusal is set if the node would refuse the request.
	Refusal *ChoiceRefusal `json:"refusal,omitempty"`
	Route   *ChoiceRoute   `json:"route,omitempty"`
	// Service is where the request goes, and ServiceBy how it was found.
	Service   string `json:"service,omitempty"`
	ServiceBy string `json:"serviceBy,omitempty"`
	// ObjectiveMs and TimeoutMs apply to this request.
	ObjectiveMs float64 `json:"objectiveMs,omitempty"`
	TimeoutMs   float64 `json:"timeoutMs,omitempty"`
	objective   time.Duration
	// Queued reports that no gate is expected to start the request at once, so that the
	// choice is the gate that is asked to queue it.
	Queued bool `json:"queued"`
	// AnswerBytes is the expected size of the answer, Work the work of the route relative
	// to the mean, and LocalLimitMs the cost below which a server of the node's own data
	// centre is preferred.
	AnswerBytes   int64   `json:"answerBytes,omitempty"`
	Work          float64 `json:"work,omitempty"`
	MeanServiceMs float64 `json:"meanServiceMs,omitempty"`
	LocalLimitMs  float64 `json:"localLimitMs,omitempty"`
	// Choice is the server, and Why the rule by which it was chosen.
	Choice     mesh.ServerID       `json:"choice,omitempty"`
	Why        string              `json:"why,omitempty"`
	Candidates []balance.Candidate `json:"candidates"`
	// Others are the listed servers of the service that are no candidates.
	Others []OtherServer `json:"others"`
}

// ChoiceRefusal is the refusal that a caller would get.
type ChoiceRefusal struct {
	Reason       string  `json:"reason"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
}

// ChoiceRoute is the route of a request.
type ChoiceRoute struct {
	Name     string       `json:"name"`
	Prefix   string       `json:"prefix"`
	Priority int          `json:"priority"`
	Split    []ChoiceGoal `json:"split"`
}

// ChoiceGoal is a destination of a route with its weight.
type ChoiceGoal struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// OtherServer is a server that is no candidate.
type OtherServer struct {
	Server     mesh.ServerID `json:"server"`
	Address    string        `json:"address"`
	DataCentre string        `json:"dataCentre"`
	Reasons    []string      `json:"reasons"`
}

// choiceExplainer explains where a request would go. It changes nothing.
type choiceExplainer struct {
	entry    *Entry
	host     string
	storeAge func(now time.Time) time.Duration
}

// ServeHTTP answers a query with a ChoiceExplanation.
func (x *choiceExplainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query, err := parseChoiceQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(x.explain(query, time.Now())); err != nil {
		x.entry.Logger.Debug().Str("part", "node").Err(err).Msg("failed to send an explanation")
	}
}

func (x *choiceExplainer) explain(q *ChoiceQuery, now time.Time) *ChoiceExplanation {
	age, view := x.entry.CopyAge.read(), x.entry.View()
	e := &ChoiceExplanation{
		Node: x.host, DataCentre: x.entry.Dispatcher.dataCentre, At: now, Request: q,
		StoreEra: view.Version.Era, StoreRevision: view.Version.Revision, StoreAgeMs: milliseconds(x.storeAge(now)),
		Candidates: []balance.Candidate{}, Others: []OtherServer{},
	}
	if view.Config == nil {
		return e.refuse(verdict.ReasonLacksResource, noConfigRetryAfter)
	}
	e.ConfigVersion = view.Config.Version
	if x.entry.Refusing.Load() {
		return e.refuse(verdict.ReasonLeaving, stoppingRetryAfter)
	}
	path, _, _ := strings.Cut(q.Path, "?")
	route, ok := view.Routes.Match(q.Host, path)
	if !ok {
		refusal := age.refuseUnknown(verdict.ReasonNoRoute)
		return e.refuse(refusal.Reason, refusal.RetryAfter)
	}
	x.explainService(e, route)
	if e.Service == "" {
		return e.refuse(verdict.ReasonNoRoute, 0)
	}
	if limit := view.Config.Limits.MaxBodyBytes; limit > 0 && q.BodyBytes > limit {
		return e.refuse(verdict.ReasonBodyTooLarge, 0)
	}
	if !x.entry.Dispatcher.drain.permits(now, x.entry.Dispatcher.expectedTime(route)) {
		return e.refuse(verdict.ReasonLeaving, stoppingRetryAfter)
	}
	x.explainServer(e, view, route)
	return e
}

// explainService fills in the route and the service. The service stays empty if the one
// that was asked for is no destination of the route.
func (x *choiceExplainer) explainService(e *ChoiceExplanation, route *mesh.Route) {
	e.Route = &ChoiceRoute{Name: route.Name, Prefix: route.Prefix, Priority: route.Priority}
	for _, d := range route.Destinations {
		e.Route.Split = append(e.Route.Split, ChoiceGoal{Service: d.Service, Weight: d.Weight})
		if d.Service == e.Request.Service {
			e.Service, e.ServiceBy = d.Service, serviceAsked
		}
	}
	if e.Request.Service == "" {
		service, known := x.entry.Splitter.peek(route)
		e.Service, e.ServiceBy = service, serviceLikely
		if known {
			e.ServiceBy = serviceNext
		}
		if len(route.Destinations) == 1 {
			e.ServiceBy = serviceOnly
		}
	}
	timeout := route.Timeout
	if e.Request.DeadlineMs > 0 {
		timeout = min(timeout, time.Duration(e.Request.DeadlineMs)*time.Millisecond)
	}
	e.objective = min(route.Objective, timeout)
	e.TimeoutMs, e.ObjectiveMs = milliseconds(timeout), milliseconds(e.objective)
}

// explainServer fills in the candidates and the choice.
func (x *choiceExplainer) explainServer(e *ChoiceExplanation, view *catalog.View, route *mesh.Route) {
	d, now := x.entry.Dispatcher, e.At
	r := &contract.Request{
		Route: route.Name, Service: e.Service, ContentLength: e.Request.BodyBytes,
		Objective: now.Add(e.objective),
	}
	usable := view.Usable[e.Service]
	request := d.balanceRequest(view, r, route.Name, now)
	found := d.balancer.Explain(usable, request, noVariation, now)
	if found.Choice == nil && found.RetryIn > 0 {
		// A request that no gate starts at once is sent to one that may queue it.
		r.AllowDelay, e.Queued = true, true
		found = d.balancer.Explain(usable, d.balanceRequest(view, r, route.Name, now), noVariation, now)
	}
	e.AnswerBytes, e.Work, e.MeanServiceMs = request.AnswerBytes, found.Work, milliseconds(found.MeanServiceTime)
	e.LocalLimitMs = milliseconds(found.LocalLimit)
	if found.Candidates != nil {
		e.Candidates = found.Candidates
	}
	e.Others = otherServers(view, e.Service)
	switch {
	case found.Choice != nil:
		e.Choice, e.Why = found.Choice.ID, whyChosen(found.Candidates)
	case found.RetryIn > 0:
		e.refuse(verdict.ReasonOverloaded, found.RetryIn)
	default:
		e.refuse(verdict.ReasonLacksResource, noServerRetryAfter)
	}
}

// noVariation is the source of random values that explains costs without variation.
func noVariation() float64 { return 0.5 }

// whyChosen returns the rule by which the first candidate was chosen.
func whyChosen(candidates []balance.Candidate) string {
	switch candidates[0].Rank {
	case balance.RankPreferred:
		return "least cost in the node's own data centre, below the local limit"
	case balance.RankLastResort:
		return "least cost; every server is a last resort"
	default:
		return "least cost of all; none in the node's own data centre is below the local limit"
	}
}

// otherServers returns the listed servers of a service that are no candidates.
func otherServers(view *catalog.View, service string) []OtherServer {
	others := []OtherServer{}
	for id, l := range view.Servers {
		if l.Service != service || view.IsUsable(id) {
			continue
		}
		others = append(others, OtherServer{Server: id, Address: l.Address, DataCentre: l.DataCentre, Reasons: whyUnusable(view, l)})
	}
	slices.SortFunc(others, func(a, b OtherServer) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return others
}

func whyUnusable(view *catalog.View, l *catalog.Listing) []string {
	var reasons []string
	add := func(applies bool, reason string) {
		if applies {
			reasons = append(reasons, reason)
		}
	}
	add(l.State == mesh.ServerDraining, excludedDraining)
	add(l.Leaving, excludedLeaving)
	add(l.Withheld, excludedWithheld)
	add(view.Evacuated[l.DataCentre], excludedEvacuated)
	add(view.ServerAt(l.Address) != l, excludedReplaced)
	return reasons
}

func (e *ChoiceExplanation) refuse(reason verdict.Reason, retryAfter time.Duration) *ChoiceExplanation {
	e.Refusal = &ChoiceRefusal{Reason: reason.String(), RetryAfterMs: milliseconds(retryAfter)}
	return e
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
