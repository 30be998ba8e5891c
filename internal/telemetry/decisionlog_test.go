package telemetry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"boragefall/internal/telemetry"
)

// output is a writer that records lines and can be made to block or fail.
type output struct {
	mu      sync.Mutex
	data    bytes.Buffer
	unblock chan struct{} // if set, each write waits until it is closed
	err     error
}

func (o *output) Write(p []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	return o.data.Write(p)
}

func (o *output) lines() []map[string]any {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(o.data.String()) {
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			panic(line)
		}
		out = append(out, m)
	}
	return out
}

func countLines(lines []map[string]any, field, value string) (written int, counted float64) {
	for _, l := range lines {
		if l["message"] == value {
			written++
		}
		if l[field] == value {
			counted += l["count"].(float64)
		}
	}
	return written, counted
}

func TestRequestLinesOverTheRateAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &output{}
		d := telemetry.NewDecisionLog("info", out)
		for range 5000 {
			d.Logger.Info().Str("request", "9c41").Msg("refused")
		}
		for range 10 {
			d.Logger.Info().Msg("server gone")
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		d.Close()
		lines := out.lines()
		written, folded := countLines(lines, "folded", "refused")
		g.Expect(written).To(BeNumerically("<=", 400))
		g.Expect(float64(written) + folded).To(Equal(5000.0))
		stateLines, _ := countLines(lines, "folded", "server gone")
		g.Expect(stateLines).To(Equal(10), "lines that are not about a request are not rate limited")
	})
}

func TestSlowOutputDropsLinesWithoutBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &output{unblock: make(chan struct{})}
		d := telemetry.NewDecisionLog("info", out)
		started := time.Now()
		for range 3000 {
			d.Logger.Info().Msg("server gone")
		}
		g.Expect(time.Since(started)).To(BeZero())
		lost := d.Dropped()
		g.Expect(lost).To(BeNumerically(">", 1000))
		close(out.unblock)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		d.Close()
		_, counted := countLines(out.lines(), "dropped", "output too slow or closed")
		g.Expect(counted).To(Equal(float64(lost)))
	})
}

func TestFailingOutputCountsLinesAsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := telemetry.NewDecisionLog("info", &output{err: errors.New("closed pipe")})
		for range 100 {
			d.Logger.Info().Msg("server gone")
		}
		synctest.Wait()
		g.Expect(d.Dropped()).To(BeNumerically(">=", 100))
		d.Close()
		d.Logger.Info().Msg("logged after Close")
	})
}
