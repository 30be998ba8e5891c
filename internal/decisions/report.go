package decisions

import (
	"bufio"
	"io"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds the length of a line; a longer line makes Find return an error.
// The lines that a node writes are a few hundred bytes long.
const maxLineBytes = 1 << 20

// Messages that an entry node logs at the end of a request.
const (
	MessageRefused = "answered by the node itself"
	MessageFailed  = "the server's own failure passed on"
	MessagePassed  = "answer passed on"
)

// Log is the log output of one node, or of several nodes with a prefix on each line.
type Log struct {
	// Name is used as the source of lines without a prefix.
	Name string
	io.Reader
}

// Report holds the log lines about one request.
type Report struct {
	ID string
	// Lines are the lines about the request itself, ordered by timestamp. Hosts'
	// wall clocks may differ or jump, so the order of lines from different hosts
	// is only approximate.
	Lines []Line
	// Calls maps the ID of each call that servers made while they ran the request to
	// the lines about that call.
	Calls map[string][]Line
}

// Find collects the lines about a request from logs. The ID of a call that a server
// makes is the ID of its parent request, a dot, and a suffix of its own.
func Find(id string, logs ...Log) (*Report, error) {
	r := &Report{ID: id, Calls: map[string][]Line{}}
	for _, log := range logs {
		if err := r.read(log); err != nil {
			return nil, err
		}
	}
	sortByTime(r.Lines)
	for _, lines := range r.Calls {
		sortByTime(lines)
	}
	return r, nil
}

func (r *Report) read(log Log) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), r.ID) {
			continue
		}
		line, ok := Parse(scanner.Bytes())
		if line.Source == "" {
			line.Source = log.Name
		}
		switch {
		case !ok:
		case line.Request == r.ID:
			r.Lines = append(r.Lines, line)
		case strings.HasPrefix(line.Request, r.ID+"."):
			r.Calls[line.Request] = append(r.Calls[line.Request], line)
		}
	}
	return eris.Wrap(scanner.Err(), "read decision log")
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// Outcome returns the line that records how the request ended for its caller, or nil
// when there is none: entry nodes log only one in a hundred successful answers.
func Outcome(lines []Line) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		switch lines[i].Message {
		case MessageRefused, MessageFailed, MessagePassed:
			return &lines[i]
		}
	}
	return nil
}

// Cause describes why the request ended as it did, or returns "" when the logs don't
// show it. A failure of the server is explained by the failed calls that it made.
func (r *Report) Cause() string {
	outcome := Outcome(r.Lines)
	if outcome == nil {
		return ""
	}
	if outcome.Message == MessageFailed {
		return r.explainFailedCalls()
	}
	return Meaning(outcome.Reason)
}

func (r *Report) explainFailedCalls() string {
	failed := []string{}
	for id, lines := range r.Calls {
		if outcome := Outcome(lines); outcome != nil && outcome.Message != MessagePassed {
			cause := "failed at its server"
			if outcome.Reason != "" {
				cause = outcome.Reason
			}
			failed = append(failed, id+": "+cause)
		}
	}
	if len(failed) == 0 {
		return "the server failed the request; the logs show no failed call of the server"
	}
	sort.Strings(failed)
	return "the server failed the request after its own calls failed: " + strings.Join(failed, "; ")
}
