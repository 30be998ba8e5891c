package telemetry

import (
	"io"

	"github.com/phuslu/log"
)

// logBuffer is the number of lines that wait for a slow reader; further ones
// are dropped.
const logBuffer = 1024

// NewDecisionLogger returns a logger that writes one JSON object a line and
// never blocks: lines beyond the buffer are dropped. The returned function
// writes what is buffered.
func NewDecisionLogger(level string, w io.Writer) (*log.Logger, func()) {
	writer := &log.AsyncWriter{
		ChannelSize:   logBuffer,
		DiscardOnFull: true,
		Writer:        log.IOWriter{Writer: w},
	}
	logger := &log.Logger{Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: writer}
	return logger, func() {
		// The process ends; a closed output can't be reported anywhere.
		_ = writer.Close()
	}
}
