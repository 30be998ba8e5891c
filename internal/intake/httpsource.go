package intake

import (
	"io"
	"net/http"
	"time"
)

// HTTPSource reads a caller's body under read deadlines.
type HTTPSource struct {
	io.Reader
	controller *http.ResponseController
}

// NewHTTPSource returns the body of a request that a server handles.
func NewHTTPSource(w http.ResponseWriter, r *http.Request) HTTPSource {
	return HTTPSource{Reader: r.Body, controller: http.NewResponseController(w)}
}

// SetReadDeadline bounds the reads of the connection.
func (s HTTPSource) SetReadDeadline(t time.Time) error {
	return s.controller.SetReadDeadline(t)
}
