package serve

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/adapter/journal"
	"github.com/daisygap/daisygap/internal/adapter/listen"
	"github.com/daisygap/daisygap/internal/adapter/peer"
	"github.com/daisygap/daisygap/internal/adapter/settings"
	"github.com/daisygap/daisygap/internal/adapter/upstream"
	"github.com/daisygap/daisygap/internal/command/term"
	"github.com/daisygap/daisygap/internal/daemon/steer"
	"github.com/daisygap/daisygap/platform"
)

const (
	// dialTimeout covers five round trips of 70 ms between regions.
	dialTimeout = daisygap.Millis(350)
	// ackTimeout is how long an upstream or a peer may leave sent bytes unacknowledged before the connection is closed. The
	// value covers two retransmissions at a round-trip time of 70 ms.
	ackTimeout = daisygap.Millis(550)
	// storeTimeout is the dial and acknowledgement timeout of connections to the store.
	storeTimeout = daisygap.Millis(1_500)
	// upstreamIdleTimeout is how long an unused connection to an upstream is kept. It is below the 10 s after which
	// upstreams close idle connections.
	upstreamIdleTimeout = daisygap.Millis(6_000)
	// upstreamBufferBytes is the size of each of the two buffers of a connection to an upstream. It is small because a daemon
	// holds up to thousands of such connections.
	upstreamBufferBytes = 4 << 10
	// heapPercent is the percentage of the process's memory from which on garbage is collected more often. The program's code, the
	// stacks of the kernel and short peaks need the rest.
	heapPercent = 70
	// directoryTTL is how long callers may cache a response of the directory.
	directoryTTL = daisygap.Millis(2_000)
	// cachedLookupShare is the fraction of the grace period during which new requests are still accepted from callers with
	// cached look-ups.
	cachedLookupShare = 0.45
	// answerShare is the fraction of the grace period after which the requests in flight are given up, so that their callers still get
	// an answer.
	answerShare = 0.9
	// drainDeadlineShare is the fraction of the grace period after which the drain ends and the process exits.
	drainDeadlineShare = 0.93
)

// serveSteering runs the daemon on the platform until it is stopped by a signal.
func (c *Command) serveSteering(ctx context.Context, s *daisygap.Settings, hangups <-chan os.Signal) subcommands.ExitStatus {
	if s.Steering.GCPercent > 0 {
		debug.SetGCPercent(s.Steering.GCPercent)
	}
	if s.Steering.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Steering.MemoryMB) << 20 / 100 * heapPercent)
	}
	writer := &journal.Writer{Out: c.Output.Out}
	writer.Run()
	defer writer.Close()
	listeners := buildSteering(s, newJSONLog(s, writer))
	if err := listeners.Open(); err != nil {
		return c.Output.Fail(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listeners.Daemon.CaptureLibraryLog()
	listeners.Daemon.Run(ctx)
	listeners.Run()
	go c.reload(ctx, hangups, listeners.Daemon.Log)
	grace, err := s.Steering.Grace.Millis()
	if err != nil {
		return c.Output.Fail(err)
	}
	return awaitSteeringStop(listeners, grace, cancel)
}

func newJSONLog(s *daisygap.Settings, writer *journal.Writer) daisygap.Log {
	out := logrus.New()
	out.SetOutput(writer)
	out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		out.SetLevel(level)
	}
	return daisygap.Log{Prefix: "steer", Host: s.Host, Out: out}
}

func buildSteering(s *daisygap.Settings, log daisygap.Log) *steer.Listeners {
	upstreams := upstream.NewClient(nil, upstream.NewDialer(dialTimeout, ackTimeout).DialContext)
	upstreams.SetIdleTimeout(upstreamIdleTimeout)
	upstreams.SetMaxIdle(listen.FileShares().Idle())
	upstreams.SetBufferSize(upstreamBufferBytes)
	storeTransport := &http.Transport{DialContext: upstream.NewDialer(storeTimeout, storeTimeout).DialContext}
	d := &steer.Daemon{
		Settings: s, Clock: &daisygap.Clock{},
		Store: &platform.Store{Base: s.StoreAddress, Host: s.Host, HTTP: &http.Client{Transport: storeTransport}},
		Peers: &peer.Client{Dial: newPeerDial()}, Upstream: upstreams,
		Protocol: platform.Protocol{}, StoreSchema: platform.Catalogue{}, Log: log,
	}
	return &steer.Listeners{Daemon: d, Others: []steer.Listener{
		{Address: s.Steering.ReadyAddress, Handler: platform.ReadyHandler(d)},
		{Address: s.Steering.DirectoryAddress, Handler: platform.DirectoryHandler(d, directoryTTL)},
		{Address: s.Steering.MetricsAddress, Handler: steer.MetricsHandler()},
	}}
}

// reload validates the settings file on SIGHUP. It doesn't apply the file, since the settings of a running daemon are fixed.
func (c *Command) reload(ctx context.Context, hangups <-chan os.Signal, log daisygap.Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := settings.Load(c.settingsFile); err != nil {
			log.Event("reload refused", daisygap.Fields{"error": err.Error()})
			continue
		}
		log.Event("reload", daisygap.Fields{"file": c.settingsFile})
	}
}

// awaitSteeringStop waits for a signal and drains the daemon. It still accepts requests from callers with cached look-ups for
// the first part of the grace period or until a second signal, and then completes only the requests in flight.
func awaitSteeringStop(l *steer.Listeners, grace daisygap.Millis, cancel context.CancelFunc) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	<-signals
	deadline := time.Now().Add(time.Duration(drainDeadlineShare * float64(grace.Duration())))
	l.Daemon.Leave(l.Daemon.Clock.Now() + daisygap.Millis(answerShare*float64(grace)))
	select {
	case <-signals:
	case <-time.After(time.Duration(cachedLookupShare * float64(grace.Duration()))):
	}
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), deadline)
	defer cancelDrain()
	// The error only reports that the deadline passed; AwaitDrain counts the requests that are canceled by it.
	_ = l.ShutdownCallers(drainCtx)
	canceled := l.Daemon.AwaitDrain(drainCtx)
	l.Daemon.Log.Event("stopped", daisygap.Fields{"cut": canceled})
	cancel()
	l.Close()
	l.Daemon.Wait()
	if canceled > 0 {
		return term.ExitDrainIncomplete
	}
	return subcommands.ExitSuccess
}

// newPeerDial returns the dial function for connections to other daemons.
func newPeerDial() func(ctx context.Context, address string) (net.Conn, error) {
	dialer := upstream.NewDialer(dialTimeout, ackTimeout)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}
