package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/balance"
	"boragefall/internal/cli"
	"boragefall/internal/sidecar"
)

var _ = Describe("explain-choice", func() {
	// Guards against figures that operators read in the wrong place or unit.
	It("shows the choice, each candidate with its figures, and what excludes a server", func(ctx SpecContext) {
		age, cost := 120.0, 61.25
		answer := sidecar.ChoiceExplanation{
			Node: "dc0-1", DataCentre: "north", ConfigVersion: 12, StoreEra: 1, StoreRevision: 812, StoreAgeMs: 40,
			Route:   &sidecar.ChoiceRoute{Name: "order", Prefix: "/orders/", Priority: 1, Split: []sidecar.ChoiceGoal{{Service: "orders", Weight: 9}, {Service: "next", Weight: 1}}},
			Service: "orders", ServiceBy: "next of the split", ObjectiveMs: 600, TimeoutMs: 800, Work: 0.5, MeanServiceMs: 100, AnswerBytes: 1536, LocalLimitMs: 360,
			Choice: "i-1", Why: "least cost",
			Candidates: []balance.Candidate{
				{
					Server: "i-1", Address: "10.0.0.2:8000", DataCentre: "north", Rank: balance.RankPreferred, State: "warm", ReportAgeMs: &age,
					Speed: balance.Speed{ServiceMs: 100, SlowdownPercent: 120, Concurrency: 9, ExpectedMs: 60}, Load: balance.Load{Running: 3, Queued: 1, Slots: 14, SentSinceReport: 2, Outstanding: 4, Expected: 4.5},
					Link: balance.Link{AnswerRate: 2_500_000, DelayMs: 2, DelayAgeMs: &age}, CostMs: &cost, Cost: []balance.CostPart{{Part: "work", Ms: 60}, {Part: "network", Ms: 1.25}},
				},
				{Server: "i-2", Address: "10.0.0.3:8000", DataCentre: "south", Rank: balance.RankExcluded, State: "unknown", Exclusions: []balance.Exclusion{{Reason: "full", ForMs: 80}}},
			},
			Others: []sidecar.OtherServer{{Server: "i-3", Address: "10.0.0.4:8000", DataCentre: "south", Reasons: []string{"draining"}}},
		}
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			q := r.URL.Query()
			Expect([]string{r.Method, r.URL.Path, q.Get("path"), q.Get("body"), q.Get("deadline-ms")}).To(Equal([]string{"GET", sidecar.ChoicePath, "/orders/7", "9", "800"}))
			answer.Request = &sidecar.ChoiceQuery{Host: q.Get("host"), Path: q.Get("path"), Method: q.Get("method"), BodyBytes: 9}
			Expect(json.NewEncoder(w).Encode(&answer)).To(Succeed())
		}))
		DeferCleanup(node.Close)
		args := []string{"explain-choice", "--node", strings.TrimPrefix(node.URL, "http://"), "--method", "POST", "--body", "9", "--deadline", "800ms"}
		got := run(ctx, append(args, "shop.example", "/orders/7")...)
		Expect(got.err).To(BeEmpty())
		Expect(got.code).To(Equal(cli.ExitOK))
		Expect(got.out).To(Equal(`POST shop.example/orders/7, body 9 bytes
  node     dc0-1 (north), configuration 12, store 1.812, known to be current 40.0 ms ago
  route    order (/orders/), priority 1, objective 600.0 ms, timeout 800.0 ms
  service  orders: next of the split; weights orders 9, next 1
  work     0.50 of the mean, mean service time 100.0 ms, answer about 1536 bytes
✓ i-1: least cost (local limit 360.0 ms)
✓ 1. i-1 10.0.0.2:8000 (north): preferred
     cost   61.2 ms = work 60.0 ms + network 1.2 ms
     state  warm, report 120.0 ms old
     speed  60.0 ms expected; service time 100.0 ms, slowdown 120%, handles 9 at once, fails 0%
     load   3 running, 1 queued, 14 slots; 2 sent since, 4 outstanding here, 4.5 expected
     link   answers 2500 KB/s, 0.0 ms queued; bodies -, 0.0 ms queued; delay 2.0 ms, measured 120.0 ms ago
✗ 2. i-2 10.0.0.3:8000 (south): excluded: full for 80.0 ms
     state  unknown, report - old
     speed  0.0 ms expected; service time -, slowdown -, handles 0 at once, fails 0%
     load   0 running, 0 queued, 0 slots; 0 sent since, 0 outstanding here, 0.0 expected
     link   answers -, 0.0 ms queued; bodies -, 0.0 ms queued; delay 0.0 ms, measured - ago
✗ i-3 10.0.0.4:8000 (south): draining
`))
		answer.Refusal = &sidecar.ChoiceRefusal{Reason: "overloaded", RetryAfterMs: 80}
		got = run(ctx, append(args, "--json", "shop.example", "/orders/7")...)
		Expect(got.code).To(Equal(cli.ExitNo))
		Expect(got.out).To(ContainSubstring(`"reason": "overloaded"`))
	})
})
