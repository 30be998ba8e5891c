package workload

import (
	"context"
	"fmt"
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
	pending := make([]*Member, 0, len(f.Members))
	for _, m := range f.Members {
		if m.Node() != nil {
			pending = append(pending, m)
		}
	}
	var times []time.Duration
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for len(pending) > 0 && time.Since(since) < limit && ctx.Err() == nil {
		<-ticker.C
		rest := pending[:0]
		for _, m := range pending {
			n := m.Node()
			switch {
			case n == nil:
			case n.Version().Less(v):
				rest = append(rest, m)
			default:
				times = append(times, time.Since(since))
			}
		}
		pending = rest
	}
	return times, len(pending) == 0
}
