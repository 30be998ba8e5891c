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
	// lineQueueLength is the number of lines that wait for a slow reader.
	lineQueueLength = 1024
	// requestLinesPerSecond and requestLinesBurst bound the lines about requests;
	// more are folded into counts. A line costs about 10 µs of a processor.
	requestLinesPerSecond = 100
	requestLinesBurst     = 300
	// summaryInterval is the interval of the lines that hold the counts.
	summaryInterval = time.Second
	// maxFoldedMessages bounds the messages that are counted apart.
	maxFoldedMessages = 64
)

var (
	requestField = []byte(`"request":"`)
	messageField = []byte(`"message":"`)
)

// DecisionLog writes one JSON object a line to an output that may be slow or
// closed, and never blocks the caller. Lines about requests are written in full
// up to a rate; beyond it they are counted by message. Lines for which the output
// is too slow are dropped and counted.
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

// NewDecisionLog returns a log of a level ("debug", "info", "warn", "error").
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

// Write takes one line. It always succeeds.
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

// Dropped returns the lines that were lost because the output was too slow.
func (d *DecisionLog) Dropped() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dropped
}

// Close writes what waits, for a short time at most.
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
				d.dropped++ // there is no other place to report it
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

// enqueueSummary writes the counts of what was folded or dropped.
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

// messageOf returns the message of a line.
func messageOf(line []byte) string {
	at := bytes.LastIndex(line, messageField)
	if at < 0 {
		return ""
	}
	text, _, _ := bytes.Cut(line[at+len(messageField):], []byte{'"'})
	return string(text)
}
