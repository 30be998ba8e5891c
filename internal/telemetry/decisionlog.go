package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// lineQueueLength is the number of lines that are queued while the output is slow.
	lineQueueLength = 1024
	// requestLinesPerSecond and requestLinesBurst limit the rate of lines about
	// requests. Lines over the limit are only counted, because writing a line
	// takes about 10 µs of CPU time.
	requestLinesPerSecond = 100
	requestLinesBurst     = 300
	// summaryInterval is the interval at which the counts are logged.
	summaryInterval = time.Second
	// maxFoldedMessages bounds the number of messages that are counted separately.
	// All others share the count "others".
	maxFoldedMessages = 64
)

var (
	requestField = []byte(`"request":"`)
	messageField = []byte(`"message":"`)
)

// DecisionLog writes log lines as JSON objects, one per line, to an output that may be
// slow or closed. Logging never blocks. Lines about requests are written up to a rate
// limit; over it they are counted by message. Lines that the output is too slow to
// accept are dropped and counted.
type DecisionLog struct {
	// Logger writes to this log.
	Logger *log.Logger

	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu              sync.Mutex
	limiter         *rate.Limiter
	folded          map[string]int
	dropped         uint64
	reportedDropped uint64
	closed          bool
}

// NewDecisionLog returns a log that writes lines of at least the given level ("debug",
// "info", "warn" or "error") to out.
func NewDecisionLog(level string, out io.Writer) *DecisionLog {
	d := &DecisionLog{
		out:     out,
		lines:   make(chan []byte, lineQueueLength),
		done:    make(chan struct{}),
		limiter: rate.NewLimiter(requestLinesPerSecond, requestLinesBurst),
		folded:  map[string]int{},
	}
	d.Logger = &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     log.IOWriter{Writer: d},
	}
	go d.run()
	return d
}

// Write queues one line. It never returns an error.
func (d *DecisionLog) Write(line []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		d.dropped++
		return len(line), nil
	}
	if bytes.Contains(line, requestField) && !d.limiter.Allow() {
		d.fold(messageOf(line))
		return len(line), nil
	}
	d.enqueue(bytes.Clone(line))
	return len(line), nil
}

// Dropped returns the number of lines that were lost because the output was too slow,
// failed or was closed.
func (d *DecisionLog) Dropped() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dropped
}

// Close flushes the queued lines. It waits for summaryInterval at most.
func (d *DecisionLog) Close() {
	d.mu.Lock()
	if !d.closed {
		d.enqueueSummary()
		d.closed = true
		close(d.lines)
	}
	d.mu.Unlock()
	select {
	case <-d.done:
	case <-time.After(summaryInterval):
	}
}

func (d *DecisionLog) fold(message string) {
	if _, known := d.folded[message]; !known && len(d.folded) >= maxFoldedMessages {
		message = "others"
	}
	d.folded[message]++
}

func (d *DecisionLog) enqueue(line []byte) {
	select {
	case d.lines <- line:
	default:
		d.dropped++
	}
}

func (d *DecisionLog) run() {
	defer close(d.done)
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-d.lines:
			if !ok {
				return
			}
			if _, err := d.out.Write(line); err != nil {
				d.mu.Lock()
				d.dropped++ // a failed log output can't be reported elsewhere
				d.mu.Unlock()
			}
		case <-tick.C:
			d.mu.Lock()
			if !d.closed {
				d.enqueueSummary()
			}
			d.mu.Unlock()
		}
	}
}

// enqueueSummary queues lines with the counts of folded and dropped lines.
func (d *DecisionLog) enqueueSummary() {
	messages := make([]string, 0, len(d.folded))
	for message := range d.folded {
		messages = append(messages, message)
	}
	slices.Sort(messages)
	for _, message := range messages {
		d.enqueue(d.summaryLine("folded", message, uint64(d.folded[message])))
	}
	clear(d.folded)
	if d.dropped > d.reportedDropped {
		line := d.summaryLine("dropped", "output too slow or closed", d.dropped-d.reportedDropped)
		d.reportedDropped = d.dropped
		d.enqueue(line)
	}
}

func (d *DecisionLog) summaryLine(field, value string, n uint64) []byte {
	return fmt.Appendf(nil, `{"time":"%s","level":"info","part":"log","%s":%q,"count":%d,"message":"lines not written"}`+"\n",
		time.Now().Format(d.Logger.TimeFormat), field, value, n)
}

// messageOf returns the value of the message field of a JSON line.
func messageOf(line []byte) string {
	at := bytes.LastIndex(line, messageField)
	if at < 0 {
		return ""
	}
	text, _, _ := bytes.Cut(line[at+len(messageField):], []byte{'"'})
	return string(text)
}
