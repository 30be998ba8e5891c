// Package telemetry provides a node's logs, metrics and trace spans.
package telemetry

import (
	"fmt"
	"io"

	"github.com/phuslu/log"
)

// partField is the log field that names the component of the node. Its value is
// written before the message.
const partField = "part"

// NewLogger returns a logger that writes messages of at least the given level ("debug",
// "info", "warn" or "error"), one per line: time, level, part, message, fields.
func NewLogger(level string, w io.Writer) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatLine},
	}
}

// Silent returns a logger that discards all messages.
func Silent() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

func formatLine(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := fmt.Appendf(nil, "%s %-5s ", args.Time, args.Level)
	if part := args.Get(partField); part != "" {
		line = fmt.Appendf(line, "%s: ", part)
	}
	line = append(line, args.Message...)
	for _, kv := range args.KeyValues {
		if kv.Key != partField {
			line = fmt.Appendf(line, " %s=%s", kv.Key, kv.Value)
		}
	}
	return w.Write(append(line, '\n'))
}
