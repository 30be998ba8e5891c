package decisions

import (
	"bufio"
	"io"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds a line; longer ones end the reading with an error. A node's
// own lines are a few hundred bytes.
const maxLineBytes = 1 << 20

// Messages with which an entry ends a request.
const (
	MessageRefused = "answered by the node itself"
	MessageFailed  = "the server's own failure passed on"
	MessagePassed  = "answer passed on"
)

// Log is the output of one node, or of several with a prefix on each line.
type Log struct {
	// Name is the source of lines without a prefix.
	Name string
	io.Reader
}

// Report is what logs tell of one request.
type Report struct {
	ID string
	// Lines are about the request itself, by their hosts' times of day, which may
	// differ or jump: the order of two hosts' lines is a hint.
	Lines []Line
	// Calls are the lines about calls that servers made while they ran it, by the
	// id of the call.
	Calls map[string][]Line
}

// Find collects the lines about a request from logs. Calls of a server carry the
// id of the request that they belong to, a dot, and one of their own.
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
	return eris.Wrap(scanner.Err(), "read a log")
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// Outcome returns the line that tells how the request ended for its caller, or nil
// when no entry logged that: good answers are logged one in a hundred.
func Outcome(lines []Line) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		switch lines[i].Message {
		case MessageRefused, MessageFailed, MessagePassed:
			return &lines[i]
		}
	}
	return nil
}

// Cause says in words why the request ended as it did, or "" when the logs do not
// tell. The answer of a server that failed is explained by its calls.
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
		return "the server failed it; no call of its own failed as far as the logs tell"
	}
	sort.Strings(failed)
	return "the server failed it after calls of its own failed: " + strings.Join(failed, "; ")
}
