package workload

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"boragefall/internal/contract"
	"boragefall/internal/standin"
	"boragefall/internal/verdict"
)

// performance is one operation of one caller, over all its tries.
type performance struct {
	operation Operation
	id        string
	phase     string // of the load, at the start
	keyed     bool
	random    *rand.Rand
}

// reply is the end of one try.
type reply struct {
	operation  string // the id under which the server's record has it
	status     int
	verdict    verdict.Verdict
	unreached  bool // no connection to the entry
	wrong      bool // an answer that belongs to another request, or a cut one
	refused    bool // the system's own refusal
	reason     string
	retryAfter time.Duration
}

func (r reply) good() bool {
	return !r.unreached && !r.refused && !r.wrong && r.status < http.StatusInternalServerError
}

// perform sends an operation until it is answered or given up.
func (l *Load) perform(p *performance) {
	started := time.Now()
	key := ""
	if p.keyed {
		id, err := uuid.NewV7()
		if err == nil {
			key = id.String()
		}
	}
	var last reply
	for try := range l.cfg.MaxTries {
		last = l.try(p, key, try)
		l.tally.tried(last)
		if last.good() || !p.sendsAgain(last) {
			break
		}
		if l.cfg.ObeyRetryAfter && try+1 < l.cfg.MaxTries {
			time.Sleep(last.retryAfter)
		}
	}
	l.tally.ended(p, last, time.Since(started))
}

// sendsAgain reports whether a sane caller tries once more: with a key or for
// an idempotent request always, otherwise only when the request did not run.
func (p *performance) sendsAgain(last reply) bool {
	if p.operation.Idempotent || p.keyed {
		return true
	}
	return last.unreached || last.refused && last.verdict == verdict.NotRun
}

func (l *Load) try(p *performance, key string, try int) reply {
	// Each try of an idempotent operation stands alone in the record.
	id := p.id
	if p.operation.Idempotent {
		id += "." + strconv.Itoa(try)
	}
	address := l.entry(p.random)
	request, err := http.NewRequest(p.operation.Method, "http://"+address+p.operation.Path, p.body())
	if err != nil {
		return reply{operation: id, unreached: true}
	}
	request.Header.Set(standin.HeaderOperation, id)
	request.Header.Set(contract.HeaderCaller, p.operation.Caller)
	if p.operation.Poison {
		request.Header.Set(standin.HeaderPoison, "1")
	}
	if key != "" {
		request.Header.Set(contract.HeaderKey, key)
	}
	response, err := l.client.Do(request)
	if err != nil {
		l.avoid.Store(address, time.Now().Add(avoidFor))
		return reply{operation: id, unreached: strings.Contains(err.Error(), "connection refused"), wrong: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.Close {
		l.avoid.Store(address, time.Now().Add(avoidFor))
	}
	return l.read(id, response)
}

func (p *performance) body() io.Reader {
	if p.operation.BodyBytes == 0 {
		return http.NoBody
	}
	return bytes.NewReader(bytes.Repeat([]byte{'b'}, p.operation.BodyBytes))
}

func (l *Load) read(id string, response *http.Response) reply {
	r := reply{
		operation: id,
		status:    response.StatusCode,
		verdict:   verdict.Parse(response.Header.Get(contract.HeaderVerdict)),
		reason:    response.Header.Get(contract.HeaderReason),
	}
	r.refused = r.reason != ""
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.wrong = true
		return r
	}
	if !r.refused && r.status == http.StatusOK {
		_, echoed, _ := strings.Cut(strings.TrimSuffix(string(body), "\n"), " ")
		r.wrong = echoed != id
	}
	return r
}
