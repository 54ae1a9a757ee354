package listen

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/policy/quota"
)

const (
	// minStall is how long a connection must have been without progress before it is closed for the memory that it holds.
	minStall = daisygap.Millis(250)
	// minTurn is how long a connection must have been without progress before it is closed for a new one, so that a request that is sent at
	// once is answered while a crowd connects again and again. It is also the longest wait for a connection to reach that.
	minTurn   = daisygap.Millis(50)
	turnPause = 2 * time.Millisecond
	// minTaken is the number of bytes that a connection counts for at least in the choice of the one that is closed for a new one.
	minTaken = 1 << 10
	// reclaimTries and reclaimPause bound the wait for the memory of a connection that was closed.
	reclaimTries = 20
	reclaimPause = time.Millisecond
	// reportInterval is the minimum time between two reports of closed connections.
	reportInterval = daisygap.Millis(1_000)
)

// Reasons why a Guard closes a connection.
const (
	ReasonConnections = "connections"
	ReasonMemory      = "memory"
)

// Closing describes a connection that a Guard closed to make room for others.
type Closing struct {
	Listener string
	Reason   string
	Address  string
	// Stalled is how long the connection was without progress, and Held the bytes that it held.
	Stalled daisygap.Millis
	Held    int64
	// Count is the number of connections that were closed since the last report.
	Count int
}

// Guard bounds the connections of a listener and what they hold. It closes those that hold most for longest without progress, never one on
// which a request has been passed to an upstream and isn't answered. Set the exported fields before the first connection.
type Guard struct {
	// Name identifies the listener in metrics and reports.
	Name string
	// Connections is the largest number of open connections.
	Connections int
	// Memory is the budget for Reserve.
	Memory quota.Bytes
	// OnClose is called with a closed connection, at most once per second.
	OnClose func(Closing)

	clock daisygap.Clock
	mu    sync.Mutex
	conns map[*Conn]bool
	// closed counts the closed connections since reportedAt.
	closed     int
	reportedAt daisygap.Millis
}

// Listen returns a listener whose connections are guarded.
func (g *Guard) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit tracks a new connection. At the limit it closes another one, or the new one if no other may be closed.
func (g *Guard) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, guard: g, address: hostOf(raw.RemoteAddr())}
	g.awaitTurn()
	g.mu.Lock()
	var victim *Conn
	if len(g.conns) >= g.Connections {
		victim = g.longestIdle()
		for victim != nil && !victim.state.CompareAndSwap(stateOpen, stateClosing) {
			// Its request has just been passed to an upstream.
			victim = g.longestIdle()
		}
		if victim == nil {
			victim, c = c, nil
		} else {
			delete(g.conns, victim)
		}
	}
	if c != nil {
		if g.conns == nil {
			g.conns = make(map[*Conn]bool)
		}
		g.conns[c] = true
	}
	g.mu.Unlock()
	g.close(victim, ReasonConnections)
	return c
}

// awaitTurn waits until there is room for a new connection, or one to be closed has been without progress for minTurn.
func (g *Guard) awaitTurn() {
	for end := g.clock.Now() + minTurn; g.clock.Now() < end; time.Sleep(turnPause) {
		g.mu.Lock()
		full := len(g.conns) >= g.Connections
		var c *Conn
		if full {
			c = g.longestIdle()
		}
		g.mu.Unlock()
		if !full || c != nil && c.stalled() >= minTurn {
			return
		}
	}
}

func hostOf(a net.Addr) string {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return a.String()
}

// longestIdle returns the connection that has taken most for longest without progress among those of the address that has most, or nil.
func (g *Guard) longestIdle() *Conn {
	counts := make(map[string]int)
	for c := range g.conns {
		counts[c.address]++
	}
	score := int64(0)
	var best *Conn
	for c := range g.conns {
		if c.state.Load() != stateOpen {
			continue
		}
		// One that makes progress is only taken if there is no other.
		s, stalled := int64(0), c.stalled()
		if stalled >= minTurn {
			s = (c.read.Load() + minTaken) * int64(stalled)
		}
		if best == nil || counts[c.address] > counts[best.address] || counts[c.address] == counts[best.address] && s > score {
			best, score = c, s
		}
	}
	return best
}

// reclaim closes the connection that holds most for longest without progress, of the address that holds most. For a large request, only those
// of addresses that hold more than its own are considered, so that the members of a crowd don't take turns. It returns false if there is none.
func (g *Guard) reclaim(by *Conn, large bool) bool {
	g.mu.Lock()
	held := make(map[string]int64)
	for c := range g.conns {
		held[c.address] += c.held.Load()
	}
	var best *Conn
	score := int64(0)
	for c := range g.conns {
		n, stalled := c.held.Load(), c.stalled()
		if c == by || n == 0 || stalled < minStall || c.state.Load() != stateOpen || large && held[c.address] <= held[by.address] {
			continue
		}
		if s := n * int64(stalled); best == nil || held[c.address] > held[best.address] || c.address == best.address && s > score {
			best, score = c, s
		}
	}
	if best != nil && !best.state.CompareAndSwap(stateOpen, stateClosing) {
		// Its request has just been passed to an upstream.
		best = nil
	}
	if best != nil {
		delete(g.conns, best)
	}
	g.mu.Unlock()
	g.close(best, ReasonMemory)
	return best != nil
}

// close closes a connection, unless it is nil, and reports that.
func (g *Guard) close(c *Conn, reason string) {
	if c == nil {
		return
	}
	now := g.clock.Now()
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisygap_closed_connections_total{listener=%q,reason=%q}`, g.Name, reason)).Inc()
	closing := Closing{Listener: g.Name, Reason: reason, Address: c.address, Stalled: c.stalled(), Held: c.held.Load()}
	_ = c.Close()
	g.mu.Lock()
	g.closed++
	report := g.reportedAt == 0 || now-g.reportedAt >= reportInterval
	if report {
		closing.Count, g.closed, g.reportedAt = g.closed, 0, max(now, 1)
	}
	g.mu.Unlock()
	if report && g.OnClose != nil {
		g.OnClose(closing)
	}
}

// now returns the time, which is never 0.
func (g *Guard) now() int64 {
	return int64(g.clock.Now()) + 1
}

func (g *Guard) forget(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}
