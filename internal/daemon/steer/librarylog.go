package steer

import (
	"log"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
)

var libraryLines = metrics.NewCounter(`daisygap_library_lines_total`)

// libraryLog turns what net/http logs by itself, such as bytes that no request asked for, into counted events.
type libraryLog struct{ d *Daemon }

// Write takes one line.
func (l libraryLog) Write(line []byte) (int, error) {
	libraryLines.Inc()
	l.d.event("library", "library", func() daisygap.Fields {
		text := strings.TrimSpace(string(line))
		return daisygap.Fields{"text": text[:min(len(text), maxLibraryLine)]}
	})
	return len(line), nil
}

// maxLibraryLine is the part of a line that is kept; the rest is the stray bytes themselves.
const maxLibraryLine = 120

// CaptureLibraryLog directs the lines that libraries write to the standard logger to the daemon's events.
func (d *Daemon) CaptureLibraryLog() {
	log.SetFlags(0)
	log.SetOutput(libraryLog{d})
}

func (d *Daemon) errorLog() *log.Logger {
	return log.New(libraryLog{d}, "", 0)
}
