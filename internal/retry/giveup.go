package retry

import "boragefall/internal/verdict"

// FinalError returns the error for the caller when no server is left to try. Its verdict
// covers all attempts of the request.
func (p *Plan) FinalError(last error) *verdict.Error {
	return p.stop(verdict.FromError(last), StopNotRetryable).Final
}
