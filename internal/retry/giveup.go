package retry

import "boragefall/internal/verdict"

// FinalError returns the final error of a request that no further server is left
// for. Its verdict covers all attempts.
func (p *Plan) FinalError(last error) *verdict.Error {
	return p.stop(verdict.Of(last), StopNotRetryable).Final
}
