package intake

import (
	"io"
	"net/http"
	"time"
)

// HTTPSource reads the body of an HTTP request under read deadlines.
type HTTPSource struct {
	io.Reader
	controller *http.ResponseController
}

// NewHTTPSource returns the Source for the body of a request in a server's handler.
func NewHTTPSource(w http.ResponseWriter, r *http.Request) HTTPSource {
	return HTTPSource{Reader: r.Body, controller: http.NewResponseController(w)}
}

// SetReadDeadline sets the deadline for reads from the connection.
func (s HTTPSource) SetReadDeadline(t time.Time) error {
	return s.controller.SetReadDeadline(t)
}
