package serve

import (
	"cmp"
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/listen"
	"github.com/daisygap/daisygap/internal/adapter/peer"
	"github.com/daisygap/daisygap/internal/adapter/settings"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/daemon/entry"
	"github.com/daisygap/daisygap/platform"
)

// settingsEnv is the environment variable with the default path of the settings file.
const settingsEnv = "DAISYGAP_CONFIG"

// pruneInterval is the interval at which unused connections to other daemons are closed.
const pruneInterval = 30 * time.Second

// Command implements the daisygap serve command.
type Command struct {
	Output term.Output

	settingsFile string
}

// Name returns the command's name.
func (*Command) Name() string { return "serve" }

// Synopsis returns one line of help.
func (*Command) Synopsis() string { return "run the daemon of one entry host" }

// Usage returns the help text.
func (*Command) Usage() string {
	return "serve --settings FILE\n  Runs until SIGTERM or SIGINT, then drains; a second signal stops without waiting for the drain.\n"
}

// SetFlags defines the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", cmp.Or(os.Getenv(settingsEnv), "host.json"), "path of the host's settings file")
}

// Execute runs the daemon until it is stopped by a signal.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// A SIGHUP that comes before would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := settings.Load(c.settingsFile)
	if err != nil {
		return c.Output.Fail(err)
	}
	if s.Steering != nil {
		return c.serveSteering(ctx, s, hangups)
	}
	listeners, maintain, err := buildEntry(s, c.newTextLog(s))
	if err != nil {
		return c.Output.Fail(err)
	}
	if err := listeners.Open(); err != nil {
		return c.Output.Fail(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listeners.Daemon.Run(ctx)
	listeners.Run()
	go maintain(ctx)
	go c.reload(ctx, hangups, listeners.Daemon.Log)
	return c.awaitStop(listeners, cancel)
}

func (c *Command) newTextLog(s *daisygap.Settings) daisygap.Log {
	out := logrus.New()
	out.SetOutput(c.Output.Err)
	out.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		out.SetLevel(level)
	}
	return daisygap.Log{Prefix: "serve", Out: out}
}

// buildEntry assembles the daemon and its listeners. The returned function prunes idle peer connections until its context
// ends.
func buildEntry(s *daisygap.Settings, log daisygap.Log) (*entry.Listeners, func(context.Context), error) {
	server, client, err := settings.LoadTLS(s.TLS)
	if err != nil {
		return nil, nil, err
	}
	peers := &peer.Client{TLS: client}
	upstreams, forwards := upstream.NewClient(nil, nil), upstream.NewClient(client, nil)
	idle := listen.FileShares().Idle() / 2
	upstreams.SetMaxIdle(idle)
	forwards.SetMaxIdle(idle)
	d := &entry.Daemon{
		Settings: s, Clock: &daisygap.Clock{},
		Store:    &platform.Store{Base: s.StoreAddress, Host: s.Host, HTTP: &http.Client{}},
		Peers:    peers,
		Upstream: upstreams,
		Forward:  forwards,
		Log:      log, Timing: entry.DefaultTiming(),
	}
	return &entry.Listeners{Daemon: d, TLS: server}, func(ctx context.Context) { prune(ctx, peers) }, nil
}

// prune closes unused connections to other daemons at regular intervals, and all of them when the context ends.
func prune(ctx context.Context, peers *peer.Client) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			peers.Close()
			return
		case <-ticker.C:
			peers.Prune()
		}
	}
}

// awaitStop waits for a signal and drains the daemon. A second signal aborts the drain, and the requests still in flight are
// canceled and reported.
func (c *Command) awaitStop(l *entry.Listeners, cancel context.CancelFunc) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	<-signals
	drainCtx, abort := context.WithCancel(context.Background())
	defer abort()
	go func() {
		<-signals
		abort()
	}()
	l.Daemon.Leave(drainCtx)
	drainErr := l.Drain(drainCtx)
	canceled := l.Daemon.Finish(drainCtx)
	cancel()
	l.Close()
	l.Daemon.Wait()
	if canceled > 0 || drainErr != nil {
		c.Output.Printf("drain incomplete: %d requests in flight were canceled", canceled)
		return term.ExitDrainIncomplete
	}
	return subcommands.ExitSuccess
}
