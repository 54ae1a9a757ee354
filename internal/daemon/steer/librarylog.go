package steer

import (
	"log"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
)

var libraryLines = metrics.NewCounter(`daisygap_library_lines_total`)

// libraryLog turns lines that net/http logs, such as those about unsolicited response bytes, into counted and rate-limited
// events.
type libraryLog struct{ d *Daemon }

// Write logs one line.
func (l libraryLog) Write(line []byte) (int, error) {
	libraryLines.Inc()
	l.d.event("library", "library", func() daisygap.Fields {
		text := strings.TrimSpace(string(line))
		return daisygap.Fields{"text": text[:min(len(text), maxLibraryLine)]}
	})
	return len(line), nil
}

// maxLibraryLine is the number of bytes kept of a line; the rest is only a dump of unsolicited bytes.
const maxLibraryLine = 120

// CaptureLibraryLog redirects the standard logger, which libraries write to, to the daemon's events.
func (d *Daemon) CaptureLibraryLog() {
	log.SetFlags(0)
	log.SetOutput(libraryLog{d})
}

func (d *Daemon) errorLog() *log.Logger {
	return log.New(libraryLog{d}, "", 0)
}
