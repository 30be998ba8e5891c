package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/balance"
	"boragefall/internal/sidecar"
)

// unknownFigure stands for a figure that the node doesn't have.
const unknownFigure = "-"

func explainChoiceCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("explain-choice", streams)
	address := flags.String("node", "", "admin `address` of a node on the platform, IP:port")
	method := flags.String("method", http.MethodGet, "`method` of the request")
	body := flags.Int64("body", 0, "size of the request's body in `bytes`")
	deadline := flags.Duration("deadline", 0, "how long the caller waits; 0 means as long as the route allows")
	service := flags.String("service", "", "explain this `service` of a split instead of the next one")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "explain-choice",
		ShortUsage: programName + " explain-choice --node ADDR [flags] HOST PATH",
		ShortHelp:  "Ask a node where a request would go now, and why, without sending it.",
		LongHelp: examples("HOST and PATH are those of the request. Exit code 1 means that the node would refuse it.",
			programName+" explain-choice --node 127.0.0.1:9001 shop.example /orders/7",
			programName+" explain-choice --node 127.0.0.1:9001 --method POST --body 40000 --deadline 800ms --json shop.example /orders/"),
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *address == "" {
				return Usage("--node is required")
			}
			if err := wantArgs(args, "HOST", "PATH"); err != nil {
				return err
			}
			query := &sidecar.ChoiceQuery{Host: args[0], Path: args[1], Method: *method, BodyBytes: *body, DeadlineMs: deadline.Milliseconds(), Service: *service}
			if err := query.Check(); err != nil {
				return Usage("%s", err)
			}
			return explainChoice(ctx, streams, *address, query, *asJSON)
		},
	}
}

func explainChoice(ctx context.Context, streams Streams, address string, query *sidecar.ChoiceQuery, asJSON bool) error {
	var e sidecar.ChoiceExplanation
	if err := ask(ctx, address, sidecar.ChoicePath+"?"+query.Values().Encode(), &e); err != nil {
		return err
	}
	if asJSON {
		if err := printJSON(streams.Out, &e); err != nil {
			return err
		}
	} else {
		showChoice(streams.Out, &e)
	}
	if e.Refusal != nil {
		return No()
	}
	return nil
}

func showChoice(out io.Writer, e *sidecar.ChoiceExplanation) {
	printLine(out, "%s %s%s, body %d bytes", e.Request.Method, e.Request.Host, e.Request.Path, e.Request.BodyBytes)
	printLine(out, "  node     %s (%s), configuration %d, store %d.%d, known to be current %s ago",
		e.Node, e.DataCentre, e.ConfigVersion, e.StoreEra, e.StoreRevision, formatMs(e.StoreAgeMs))
	if e.Route != nil {
		showRoute(out, e)
	}
	showResult(out, e)
	for i := range e.Candidates {
		showCandidate(out, e, &e.Candidates[i], i+1)
	}
	for i := range e.Others {
		o := &e.Others[i]
		printLine(out, "%s %s %s (%s): %s", markWrong, o.Server, o.Address, o.DataCentre, strings.Join(o.Reasons, ", "))
	}
}

func showRoute(out io.Writer, e *sidecar.ChoiceExplanation) {
	split := make([]string, 0, len(e.Route.Split))
	for _, d := range e.Route.Split {
		split = append(split, fmt.Sprintf("%s %g", d.Service, d.Weight))
	}
	printLine(out, "  route    %s (%s), priority %d, objective %s, timeout %s", e.Route.Name, e.Route.Prefix, e.Route.Priority, formatMs(e.ObjectiveMs), formatMs(e.TimeoutMs))
	if e.Service == "" {
		printLine(out, "  service  none: weights %s do not hold %s", strings.Join(split, ", "), e.Request.Service)
		return
	}
	printLine(out, "  service  %s: %s; weights %s", e.Service, e.ServiceBy, strings.Join(split, ", "))
	printLine(out, "  work     %.2f of the mean, mean service time %s, answer about %d bytes", e.Work, formatMs(e.MeanServiceMs), e.AnswerBytes)
}

func showResult(out io.Writer, e *sidecar.ChoiceExplanation) {
	if e.Queued {
		printLine(out, "  queued   no gate is expected to start it at once; one is sought that queues it")
	}
	switch {
	case e.Refusal == nil:
		printLine(out, "%s %s: %s (local limit %s)", markFine, e.Choice, e.Why, formatMs(e.LocalLimitMs))
	case e.Refusal.RetryAfterMs > 0:
		printLine(out, "%s refused: %s, retry after %s", markWrong, e.Refusal.Reason, formatMs(e.Refusal.RetryAfterMs))
	default:
		printLine(out, "%s refused: %s", markWrong, e.Refusal.Reason)
	}
}

func showCandidate(out io.Writer, e *sidecar.ChoiceExplanation, c *balance.Candidate, place int) {
	mark := " "
	if c.Server == e.Choice {
		mark = markFine
	} else if c.Rank == balance.RankExcluded {
		mark = markWrong
	}
	printLine(out, "%s %d. %s %s (%s): %s%s", mark, place, c.Server, c.Address, c.DataCentre, c.Rank, formatExclusions(c.Exclusions))
	if c.CostMs != nil {
		printLine(out, "     cost   %s = %s", formatMs(*c.CostMs), formatParts(c.Cost))
	}
	printLine(out, "     state  %s%s%s, report %s old", c.State, formatCold(c), onlyIf(c.Suspect, ", suspect"), formatAge(c.ReportAgeMs))
	printLine(out, "     speed  %s expected; service time %s, slowdown %s, handles %d at once, fails %.0f%%%s",
		formatMs(c.Speed.ExpectedMs), formatKnownMs(c.Speed.ServiceMs), formatSlowdown(c.Speed.SlowdownPercent), c.Speed.Concurrency, 100*c.Speed.FailureRate, formatLimit(c.Speed.StatedPerSecond))
	printLine(out, "     load   %d running, %d queued, %d slots; %d sent since, %d outstanding here, %.1f expected",
		c.Load.Running, c.Load.Queued, c.Load.Slots, c.Load.SentSinceReport, c.Load.Outstanding, c.Load.Expected)
	printLine(out, "     link   answers %s, %s queued; bodies %s, %s queued; delay %s, measured %s ago",
		formatRate(c.Link.AnswerRate), formatMs(c.Link.AnswerQueueMs), formatRate(c.Link.BodyRate), formatMs(c.Link.BodyQueueMs), formatMs(c.Link.DelayMs), formatAge(c.Link.DelayAgeMs))
}

func formatExclusions(exclusions []balance.Exclusion) string {
	texts := make([]string, 0, len(exclusions))
	for _, x := range exclusions {
		text := x.Reason
		if x.ForMs > 0 {
			text += " for " + formatMs(x.ForMs)
		}
		texts = append(texts, text)
	}
	return onlyIf(len(texts) > 0, ": "+strings.Join(texts, ", "))
}

func formatParts(parts []balance.CostPart) string {
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Part+" "+formatMs(p.Ms))
	}
	return strings.Join(texts, " + ")
}

func formatCold(c *balance.Candidate) string {
	if !c.Cold || c.Load.ColdTokens == nil {
		return ""
	}
	return fmt.Sprintf(", warming up (%.2f requests may be sent)", *c.Load.ColdTokens)
}

func formatSlowdown(percent int) string {
	if percent == 0 {
		return unknownFigure
	}
	return fmt.Sprintf("%d%%", percent)
}

func formatLimit(perSecond *float64) string {
	if perSecond == nil {
		return ""
	}
	return fmt.Sprintf(", states a limit of %g/s", *perSecond)
}

func formatRate(bytesPerSecond int64) string {
	if bytesPerSecond == 0 {
		return unknownFigure
	}
	return fmt.Sprintf("%d KB/s", bytesPerSecond/1000)
}

func formatAge(ms *float64) string {
	if ms == nil {
		return unknownFigure
	}
	return formatMs(*ms)
}

// formatKnownMs formats a time that is 0 while it is not known.
func formatKnownMs(ms float64) string {
	if ms == 0 {
		return unknownFigure
	}
	return formatMs(ms)
}

func formatMs(ms float64) string {
	return fmt.Sprintf("%.1f ms", ms)
}

func onlyIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
