package cli

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

const indent = "  "

// printJSON writes value as indented JSON, for scripts.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", indent)
	return eris.Wrap(encoder.Encode(value), "write JSON")
}
