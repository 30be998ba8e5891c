package contract

// Statuses of final answers.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// ValidStatus reports whether status is one that a final answer of HTTP may have. A server
// that sends another has sent no answer.
func ValidStatus(status int) bool {
	return status >= minFinalStatus && status <= maxStatus
}
