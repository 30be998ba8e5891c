// Package verdict states, for every failed request, whether the request may
// have run on a backend server.
//
// A caller may safely send a request that is not idempotent again only after
// NotRun. Code that produces NotRun states its proof beside the call.
package verdict

// Verdict says whether a request may have run on a backend server. The zero
// value is MayHaveRun, so that a verdict nobody set never permits a retry.
type Verdict uint8

const (
	// MayHaveRun means that nobody can prove that the request did not run.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and, without a new attempt,
	// never will.
	NotRun
	// Ran means that the request ran, although its answer may be lost.
	Ran
)

// Header values of the verdicts, as callers see them.
const (
	textMayHaveRun = "may-have-run"
	textNotRun     = "not-run"
	textRan        = "ran"
)

// String returns the header value of the verdict.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return textNotRun
	case Ran:
		return textRan
	default:
		return textMayHaveRun
	}
}

// Parse reads a header value. Any unknown text is MayHaveRun.
func Parse(text string) Verdict {
	switch text {
	case textNotRun:
		return NotRun
	case textRan:
		return Ran
	default:
		return MayHaveRun
	}
}

// PermitsRetry reports whether another attempt may be made for a request that
// is or is not idempotent.
func (v Verdict) PermitsRetry(idempotent bool) bool {
	if v == NotRun {
		return true
	}
	return idempotent && v == MayHaveRun
}
