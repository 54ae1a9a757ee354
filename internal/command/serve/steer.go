package serve

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/journal"
	"github.com/daisygap/daisygap/internal/adapter/peer"
	"github.com/daisygap/daisygap/internal/adapter/settings"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/daemon/steer"
	"github.com/daisygap/daisygap/platform"
)

const (
	// dialTimeout covers five round trips between regions of 70 ms.
	dialTimeout = daisygap.Millis(350)
	// silentTimeout is how long an upstream or a peer may leave sent bytes unacknowledged: two retransmissions over 70 ms.
	silentTimeout = daisygap.Millis(550)
	// storeSilent is the same for the store.
	storeSilent = daisygap.Millis(1_500)
	// idleUpstream is how long a connection is kept unused; upstreams close theirs after ten seconds.
	idleUpstream = daisygap.Millis(6_000)
	// directoryTTL is how long callers may keep an answer of the directory.
	directoryTTL = daisygap.Millis(2_000)
	// cachedShare is the part of the grace period in which callers with cached answers are still served.
	cachedShare = 0.45
	// finishShare is the part of the grace period by which the process has ended.
	finishShare = 0.93
)

// steer runs the daemon on the platform until SIGTERM.
func (c *Command) steer(ctx context.Context, s *daisygap.Settings) subcommands.ExitStatus {
	lines := &journal.Writer{Out: c.Output.Out}
	lines.Run()
	defer lines.Close()
	faces := buildSteering(s, jsonLog(s, lines))
	if err := faces.Open(); err != nil {
		return c.Output.Fail(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faces.Daemon.CaptureLibraryLog()
	faces.Daemon.Run(ctx)
	faces.Run()
	go c.reload(ctx, faces.Daemon)
	grace, err := s.Steering.Grace.Millis()
	if err != nil {
		return c.Output.Fail(err)
	}
	return stopSteering(faces, grace, cancel)
}

func jsonLog(s *daisygap.Settings, lines *journal.Writer) daisygap.Log {
	out := logrus.New()
	out.SetOutput(lines)
	out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		out.SetLevel(level)
	}
	return daisygap.Log{Prefix: "steer", Host: s.Host, Out: out}
}

func buildSteering(s *daisygap.Settings, log daisygap.Log) *steer.Listeners {
	to := upstream.NewClient(nil, upstream.NewDialer(dialTimeout, silentTimeout).DialContext)
	to.SetIdleTimeout(idleUpstream)
	store := &http.Transport{DialContext: upstream.NewDialer(storeSilent, storeSilent).DialContext}
	d := &steer.Daemon{
		Settings: s, Clock: &daisygap.Clock{},
		Store: &platform.Store{Base: s.StoreAddress, Host: s.Host, HTTP: &http.Client{Transport: store}},
		Peers: &peer.Client{Dial: peerDial()}, Upstream: to,
		Protocol: platform.Protocol{}, Catalogue: platform.Catalogue{}, Log: log,
	}
	return &steer.Listeners{Daemon: d, Others: []steer.Listener{
		{Address: s.Steering.ReadyAddress, Handler: platform.ReadyHandler(d)},
		{Address: s.Steering.DirectoryAddress, Handler: platform.DirectoryHandler(d, directoryTTL)},
		{Address: s.Steering.MetricsAddress, Handler: steer.MetricsHandler()},
	}}
}

// reload reads the settings again at SIGHUP; what a running daemon uses of them doesn't change, so they are only checked.
func (c *Command) reload(ctx context.Context, d *steer.Daemon) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if _, err := settings.Load(c.file); err != nil {
			d.Log.Event("reload refused", daisygap.Fields{"error": err.Error()})
			continue
		}
		d.Log.Event("reload", daisygap.Fields{"file": c.file})
	}
}

// stopSteering waits for SIGTERM, serves callers with cached answers for a while, and then what is in flight.
func stopSteering(f *steer.Listeners, grace daisygap.Millis, cancel context.CancelFunc) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	<-signals
	end := time.Now().Add(time.Duration(finishShare * float64(grace.Duration())))
	f.Daemon.Leave()
	select {
	case <-signals:
	case <-time.After(time.Duration(cachedShare * float64(grace.Duration()))):
	}
	stopping, hurry := context.WithDeadline(context.Background(), end)
	defer hurry()
	// The error only repeats that the deadline came; Drained counts what it cut.
	_ = f.ShutdownCallers(stopping)
	cut := f.Daemon.AwaitDrain(stopping)
	f.Daemon.Log.Event("stopped", daisygap.Fields{"cut": cut})
	cancel()
	f.Close()
	f.Daemon.Wait()
	if cut > 0 {
		return term.ExitDrainIncomplete
	}
	return subcommands.ExitSuccess
}

func peerDial() func(ctx context.Context, address string) (net.Conn, error) {
	dialer := upstream.NewDialer(dialTimeout, silentTimeout)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}
