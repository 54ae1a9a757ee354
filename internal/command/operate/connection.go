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
	defaultDaemon = "http://127.0.0.1:7003"
	callLimit     = 30 * time.Second
)

// connection holds the flags that every operators' command has.
type connection struct {
	about
	Output term.Output

	daemon string
	token  string
	json   bool
}

// about is what a command says of itself.
type about struct {
	name, synopsis, usage string
}

// Name returns the command's name.
func (a *about) Name() string { return a.name }

// Synopsis returns one line of help.
func (a *about) Synopsis() string { return a.synopsis }

// Usage returns the help text.
func (a *about) Usage() string { return a.usage }

func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemon, "daemon", envOr("DAISYGAP_DAEMON", defaultDaemon), "URL of a daemon's operator face (DAISYGAP_DAEMON)")
	f.StringVar(&c.token, "token", os.Getenv("DAISYGAP_TOKEN"), "token for writes (DAISYGAP_TOKEN)")
	f.BoolVar(&c.json, "json", false, "write JSON for programs")
}

func envOr(name, otherwise string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return otherwise
}

func (c *connection) client() *operator.Client {
	return &operator.Client{Base: c.daemon, Token: c.token, HTTP: &http.Client{Timeout: callLimit}}
}
