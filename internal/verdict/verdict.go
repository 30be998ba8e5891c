// Package verdict defines the errors of failed requests. Each error states whether the
// request may have run on a backend server.
//
// A request that is not idempotent can be retried safely only after NotRun. Code that
// returns NotRun explains in a comment why the request can't have run.
package verdict

// Verdict says whether a request may have run on a backend server. The zero
// value is MayHaveRun, so that an unset verdict never permits the retry of a request
// that is not idempotent.
type Verdict uint8

const (
	// MayHaveRun means that there is no proof that the request did not run.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run unless it is sent
	// again.
	NotRun
	// Ran means that the request ran; its answer may be lost.
	Ran
)

// Values of the verdict header that callers receive.
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

// Parse returns the verdict for a header value. Unknown values yield MayHaveRun.
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

// PermitsRetry reports whether the request may be retried. Without NotRun, only an
// idempotent request with the verdict MayHaveRun may.
func (v Verdict) PermitsRetry(idempotent bool) bool {
	if v == NotRun {
		return true
	}
	return idempotent && v == MayHaveRun
}
