package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// adminTimeout bounds one question to a node's admin address.
const adminTimeout = 5 * time.Second

// maxReasonBytes bounds the reason of a node that takes a question for malformed.
const maxReasonBytes = 4 << 10

// ask reads JSON from a node's admin address.
func ask(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return Usage("--node holds %q; it takes the admin address IP:port", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Unreachable(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusBadRequest {
		reason, err := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		if err != nil {
			return Unreachable(err)
		}
		return Usage("%s", strings.TrimSpace(string(reason)))
	}
	if response.StatusCode != http.StatusOK {
		return Unreachable(eris.Errorf("%s answers %s", address, response.Status))
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return Unreachable(eris.Wrapf(err, "%s answers no JSON", address))
	}
	return nil
}
