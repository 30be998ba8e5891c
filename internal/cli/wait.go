package cli

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/config"
	"boragefall/internal/node"
)

const (
	defaultWaitFor = 30 * time.Second
	waitPoll       = 200 * time.Millisecond
)

func waitCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("wait", streams)
	address := flags.String("node", "", "admin `address` of a node, IP:port")
	version := flags.String("version", "", "configuration `version`, epoch.revision")
	limit := flags.Duration("for", defaultWaitFor, "longest `time` to wait")
	return &ffcli.Command{
		Name:       "wait",
		ShortUsage: programName + " wait --node ADDR --version V [--for 30s]",
		ShortHelp:  "Wait until a version, or a newer one, is in force everywhere.",
		LongHelp: examples("Every host that can be reached counts. Those that lag are named, and then the exit code is 1.",
			programName+" wait --node 127.0.0.1:9001 --version 0.17"),
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			wanted, err := config.ParseVersion(*version)
			if err != nil {
				return Usage("--version holds %q; it takes epoch.revision, such as 0.17", *version)
			}
			return waitFor(ctx, streams, *address, wanted, *limit)
		},
	}
}

func waitFor(ctx context.Context, streams Streams, address string, wanted config.Version, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		members, err := readFleet(ctx, address)
		if err != nil {
			return err
		}
		lagging := laggingOf(members, wanted)
		if len(lagging) == 0 && len(members) > 0 {
			printLine(streams.Out, "%s %s is in force on %d hosts", markFine, wanted, reachable(members))
			return nil
		}
		if time.Now().After(deadline) {
			for _, m := range lagging {
				printLine(streams.Out, "%s %s has %s", markWrong, m.Host, m.Applied)
			}
			return No()
		}
		time.Sleep(waitPoll)
	}
}

func laggingOf(members []node.FleetMember, wanted config.Version) []node.FleetMember {
	var lagging []node.FleetMember
	for _, m := range members {
		applied, err := config.ParseVersion(m.Applied)
		if m.Reachable && (err != nil || applied.Less(wanted)) {
			lagging = append(lagging, m)
		}
	}
	return lagging
}

func reachable(members []node.FleetMember) int {
	n := 0
	for _, m := range members {
		if m.Reachable {
			n++
		}
	}
	return n
}
