package operate

import (
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/daisygap/daisygap/internal/adapter/operator"
	"github.com/daisygap/daisygap/internal/command/term"
)

const (
	defaultDaemonURL = "http://127.0.0.1:7003"
	requestTimeout   = 30 * time.Second
)

// baseCommand holds the flags of the commands that call a daemon.
type baseCommand struct {
	description
	Output term.Output

	daemonURL string
	token     string
	asJSON    bool
}

// description holds a command's name and help texts.
type description struct {
	name, synopsis, usage string
}

// Name returns the command's name.
func (d *description) Name() string { return d.name }

// Synopsis returns one line of help.
func (d *description) Synopsis() string { return d.synopsis }

// Usage returns the help text.
func (d *description) Usage() string { return d.usage }

func (c *baseCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemonURL, "daemon", envOr("DAISYGAP_DAEMON", defaultDaemonURL), "URL of a daemon's operator API (DAISYGAP_DAEMON)")
	f.StringVar(&c.token, "token", os.Getenv("DAISYGAP_TOKEN"), "token for writes (DAISYGAP_TOKEN)")
	f.BoolVar(&c.asJSON, "json", false, "write JSON")
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func (c *baseCommand) client() *operator.Client {
	return &operator.Client{Base: c.daemonURL, Token: c.token, HTTP: &http.Client{Timeout: requestTimeout}}
}
