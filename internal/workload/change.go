package workload

import (
	"context"
	"fmt"
	"slices"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/datacentre"
)

// markFile is the file in which operators mark what leaves. Its name sorts
// after all others.
const markFile = "90-leaving.json"

// MarkDataCentre takes a data centre out, or back in, and returns the version.
func (f *Fleet) MarkDataCentre(id datacentre.ID, leaving bool) config.Version {
	text := fmt.Sprintf(`{"dataCentres":{%q:{"leaving":%t}}}`, id, leaving)
	return f.version(f.Platform.Put(markFile, []byte(text)))
}

// Touch publishes a version that changes a timeout and nothing else.
func (f *Fleet) Touch(n int) config.Version {
	route := f.firstRoute()
	text := fmt.Sprintf(`{"routes":{%q:{"timeout":"%dms"}}}`, route, 2000+n%100)
	return f.version(f.Platform.Put("80-change.json", []byte(text)))
}

func (f *Fleet) firstRoute() string {
	if f.Deployment.Name == "fyrnet" {
		return "status-lookup"
	}
	return "standings-lookup"
}

func (f *Fleet) version(revision uint64) config.Version {
	return config.Version{Epoch: 1, Revision: revision}
}

// Converged returns, for each running node, the time from a moment until the
// node has at least the version in force; it gives up after the limit. The
// times come from looks every millisecond.
func (f *Fleet) Converged(ctx context.Context, v config.Version, since time.Time, limit time.Duration) ([]time.Duration, bool) {
	return f.ConvergedAt(ctx, f.Running(), v, since, limit)
}

// ConvergedAt does the same for the members named. A member without a node is
// waited for until its node has started.
func (f *Fleet) ConvergedAt(ctx context.Context, members []*Member, v config.Version, since time.Time, limit time.Duration) ([]time.Duration, bool) {
	pending := slices.Clone(members)
	var times []time.Duration
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for len(pending) > 0 && time.Since(since) < limit && ctx.Err() == nil {
		<-ticker.C
		pending = slices.DeleteFunc(pending, func(m *Member) bool {
			n := m.Node()
			done := n != nil && !n.Version().Less(v)
			if done {
				times = append(times, time.Since(since))
			}
			return done
		})
	}
	return times, len(pending) == 0
}

// Running returns the members whose nodes run.
func (f *Fleet) Running() []*Member {
	var running []*Member
	for _, m := range f.Members {
		if m.Node() != nil {
			running = append(running, m)
		}
	}
	return running
}

// Version returns the version of the folder as it is published now.
func (f *Fleet) Version() config.Version {
	return f.version(f.Platform.Revision())
}
