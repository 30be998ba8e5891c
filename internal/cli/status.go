package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/node"
)

func statusCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("status", streams)
	address := flags.String("node", "", "admin `address` of a node, IP:port")
	fleet := flags.Bool("fleet", false, "list all hosts that the node knows")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: programName + " status --node ADDR [--fleet] [--json]",
		ShortHelp:  "Show a node's version, lease, load and rejected versions.",
		LongHelp: examples("With --fleet the node asks every host of its host list.",
			programName+" status --node 127.0.0.1:9001",
			programName+" status --node 127.0.0.1:9001 --fleet"),
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *address == "" {
				return Usage("--node is required")
			}
			if *fleet {
				return showFleet(ctx, streams, *address, *asJSON)
			}
			return showStatus(ctx, streams, *address, *asJSON)
		},
	}
}

func showStatus(ctx context.Context, streams Streams, address string, asJSON bool) error {
	var s node.Status
	if err := ask(ctx, address, "/status", &s); err != nil {
		return err
	}
	if asJSON {
		return printJSON(streams.Out, s)
	}
	mark := markFine
	if !s.Ready {
		mark = markWrong
	}
	printLine(streams.Out, "%s %s (%s, %s) up %d s", mark, s.Host, s.DataCentre, s.Service, s.UpSeconds)
	printLine(streams.Out, "  version    %s (%s), host list %s", s.Version, s.Hash, s.HostListVersion)
	printLine(streams.Out, "  source     %s, last contact %d ms ago, %d reads", s.Role, s.SourceAgeMs, s.SourceReads)
	printLine(streams.Out, "  gate       %s, %d running, %d queued, limit %d", s.Gate.State, s.Gate.Running, s.Gate.Queued, s.Gate.Limit)
	printLine(streams.Out, "  keys       %d in the ledger, lease for %.1f s", s.LedgerKeys, s.LeaseSeconds)
	printLine(streams.Out, "  control    %d bytes sent, %d received", s.ControlSent, s.ControlReceived)
	for _, r := range s.Rejected {
		printLine(streams.Out, "%s rejected %s: %s", markWrong, r.Version, r.Reason)
	}
	return nil
}

func showFleet(ctx context.Context, streams Streams, address string, asJSON bool) error {
	members, err := readFleet(ctx, address)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(streams.Out, members)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\tHOST\tDATA CENTRE\tSERVICE\tVERSION")
	for _, m := range members {
		mark, version := markFine, m.Applied
		if !m.Reachable {
			mark, version = markWrong, "unreachable"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", mark, m.Host, m.DataCentre, m.Service, version)
	}
	return table.Flush()
}

func readFleet(ctx context.Context, address string) ([]node.FleetMember, error) {
	var members []node.FleetMember
	err := ask(ctx, address, "/fleet", &members)
	return members, err
}
