// Package exchange carries one request and its answer over one stream of a link.
// Each request has its own stream, so an answer cannot reach the wrong request. The
// client still checks the echoed request id and the stated body length.
package exchange

import (
	"math"
	"net/http"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/contract"
	"boragefall/internal/host"
	"boragefall/internal/verdict"
	"boragefall/internal/wire"
)

var priorities = []config.Priority{config.PriorityNormal, config.PriorityHigh, config.PriorityLow}

func encodePriority(p config.Priority) uint32 {
	for i, known := range priorities {
		if p == known {
			return uint32(i)
		}
	}
	return 0
}

func decodePriority(n uint32) config.Priority {
	if int(n) >= len(priorities) {
		return config.PriorityNormal
	}
	return priorities[n]
}

func encodeHeaders(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			out = append(out, &wire.Header{Name: name, Value: value})
		}
	}
	return out
}

func decodeHeaders(in []*wire.Header) http.Header {
	out := make(http.Header, len(in))
	for _, h := range in {
		out.Add(h.GetName(), h.GetValue())
	}
	return out
}

const trailerHeader = "Trailer"

// encodeRequestHeaders encodes the headers and adds the names of announced trailers,
// since the last hop has to announce them before the body.
func encodeRequestHeaders(r *contract.Request) []*wire.Header {
	out := encodeHeaders(r.Header)
	for name := range r.Trailer {
		out = append(out, &wire.Header{Name: trailerHeader, Value: name})
	}
	return out
}

// extractTrailerNames removes the announced trailer names from the headers and returns
// them as the keys of an empty trailer.
func extractTrailerNames(h http.Header) http.Header {
	trailer := http.Header{}
	for _, name := range h[trailerHeader] {
		trailer[http.CanonicalHeaderKey(name)] = nil
	}
	delete(h, trailerHeader)
	return trailer
}

func encodeRequest(r *contract.Request, traceParent string, now time.Time) *wire.RequestHead {
	head := &wire.RequestHead{
		Id: r.ID, Caller: r.Caller, Method: r.Method, Uri: r.URI, Host: r.Host,
		Headers: encodeRequestHeaders(r), Route: r.Route, Service: r.Service,
		Idempotent: r.Idempotent, Priority: encodePriority(r.Priority),
		Key: r.Key, KeyMinted: r.KeyMinted, BodyDigest: r.BodyDigest,
		BudgetMicros: r.Remaining(now).Microseconds(),
		Attempt:      uint32(r.Attempt), Hops: uint32(r.Hops),
		TraceParent:      traceParent,
		Config:           EncodeVersion(r.ConfigVersion),
		HostListRevision: r.HostListRevision,
		HostListEra:      r.HostListEra,
		ContentLength:    r.ContentLength,
		Fingerprint:      r.Fingerprint,
		Crashes:          uint32(r.Crashes),
		Server:           r.Server,
		Origin:           r.Origin,
		Rank:             uint32(max(r.Rank, 0)),
		Settle:           r.AllowDelay,
		Invested:         r.HasPriorWork,
		Spare:            r.Hedge,
		RateLimit:        encodeRateLimit(r.RateLimit),
		Nested:           r.Nested,
	}
	if !r.Objective.IsZero() {
		head.ObjectiveMicros = r.Objective.Sub(now).Microseconds()
	}
	if !r.KeyTime.IsZero() {
		head.KeyMillis = r.KeyTime.UnixMilli()
	}
	for _, id := range r.FencedHosts {
		head.FencedHosts = append(head.FencedHosts, string(id))
	}
	return head
}

func decodeRequest(head *wire.RequestHead, now time.Time) *contract.Request {
	r := &contract.Request{
		ID: head.GetId(), Caller: head.GetCaller(), Method: head.GetMethod(),
		URI: head.GetUri(), Host: head.GetHost(), Header: decodeHeaders(head.GetHeaders()),
		Route: head.GetRoute(), Service: head.GetService(), Idempotent: head.GetIdempotent(),
		Priority: decodePriority(head.GetPriority()), Key: head.GetKey(),
		KeyMinted: head.GetKeyMinted(), BodyDigest: head.GetBodyDigest(),
		Deadline: now.Add(microseconds(head.GetBudgetMicros())),
		Attempt:  int(head.GetAttempt()), Hops: int(head.GetHops()),
		ConfigVersion:    DecodeVersion(head.GetConfig()),
		HostListRevision: head.GetHostListRevision(),
		HostListEra:      head.GetHostListEra(),
		Fingerprint:      head.GetFingerprint(),
		ContentLength:    head.GetContentLength(),
		Crashes:          int(head.GetCrashes()),
		Server:           head.GetServer(),
		Origin:           head.GetOrigin(),
		Rank:             int(head.GetRank()),
		AllowDelay:       head.GetSettle(),
		HasPriorWork:     head.GetInvested(),
		Hedge:            head.GetSpare(),
		RateLimit:        decodeRateLimit(head.RateLimit),
		Nested:           head.GetNested(),
	}
	if micros := head.GetObjectiveMicros(); micros != 0 {
		r.Objective = now.Add(microseconds(micros))
	}
	r.Trailer = extractTrailerNames(r.Header)
	if ms := head.GetKeyMillis(); ms != 0 {
		r.KeyTime = time.UnixMilli(ms)
	}
	for _, id := range head.GetFencedHosts() {
		r.FencedHosts = append(r.FencedHosts, host.ID(id))
	}
	return r
}

// EncodeVersion converts a configuration version to its wire message.
func EncodeVersion(v config.Version) *wire.ConfigVersion {
	return &wire.ConfigVersion{Epoch: v.Epoch, Revision: v.Revision}
}

// DecodeVersion converts a wire message to a configuration version.
func DecodeVersion(v *wire.ConfigVersion) config.Version {
	return config.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

// microseconds returns a duration of n microseconds, or the nearest one in range.
func microseconds(n int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(max(n, -most), most)) * time.Microsecond
}

func encodeRefusal(e *verdict.Error, v config.Version) *wire.Refusal {
	refusal := &wire.Refusal{
		Verdict: uint32(e.Verdict), Reason: uint32(e.Reason),
		RetryAfterMicros: e.RetryAfter.Microseconds(), Fenced: e.Fenced,
		HostListRevision: e.HostListRevision, HostListEra: e.HostListEra, Config: EncodeVersion(v),
	}
	if e.Cause != nil {
		refusal.Detail = e.Cause.Error()
	}
	return refusal
}

func decodeRefusal(r *wire.Refusal) *verdict.Error {
	e := &verdict.Error{
		Verdict:          verdict.Verdict(r.GetVerdict()),
		Reason:           verdict.Reason(r.GetReason()),
		RetryAfter:       microseconds(r.GetRetryAfterMicros()),
		Fenced:           r.GetFenced(),
		HostListRevision: r.GetHostListRevision(),
		HostListEra:      r.GetHostListEra(),
	}
	if e.Verdict > verdict.Ran {
		e.Verdict = verdict.MayHaveRun
	}
	if detail := r.GetDetail(); detail != "" {
		e.Cause = RemoteError(detail)
	}
	return e
}

// RemoteError is an error that occurred on another node and arrived as text.
type RemoteError string

// Error returns the error text from the other node.
func (e RemoteError) Error() string {
	return string(e)
}
