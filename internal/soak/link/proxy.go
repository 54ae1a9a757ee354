package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the connection to the target on loopback.
	dialTimeout = time.Second
	// stallPollInterval is how often a stalled direction checks whether the stall has ended.
	stallPollInterval = 10 * time.Millisecond
	chunkSize         = 32 << 10
)

// Impairment is how a proxy disturbs all its connections, including new ones. The zero value disturbs nothing.
type Impairment struct {
	// Delay is added to each chunk that is forwarded, in both directions.
	Delay time.Duration
	// StallToTarget and StallFromTarget suspend forwarding in one direction. No data is lost.
	StallToTarget   bool
	StallFromTarget bool
}

// Proxy forwards TCP connections from a loopback address to one target. It is safe for concurrent use.
type Proxy struct {
	mu          sync.Mutex
	target      string
	impairment  Impairment
	connections map[*connection]bool
	listener    net.Listener
}

// connection is a client's connection and the corresponding connection to the target.
type connection struct {
	proxy  *Proxy
	client net.Conn
	target net.Conn
	once   sync.Once
	closed chan struct{}
	// blackholed discards all data in both directions. Proxy.mu guards it.
	blackholed bool
}

// Open starts a proxy on a free port of the loopback interface.
func Open(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, connections: make(map[*connection]bool), listener: l}
	go p.accept()
	return p, nil
}

// Address returns the IP address and port on which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetTarget sets the target of new connections. Open connections keep theirs.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetImpairment replaces the impairment of all connections.
func (p *Proxy) SetImpairment(i Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = i
}

// BlackholeOpen discards all further data on the connections that are open now. New connections work.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.blackholed = true
	}
}

// Reset closes the open connections with a TCP reset on both sides.
func (p *Proxy) Reset() {
	p.mu.Lock()
	var connections []*connection
	for c := range p.connections {
		connections = append(connections, c)
	}
	p.mu.Unlock()
	for _, c := range connections {
		c.reset()
	}
}

// Close closes the listener and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect dials the target and starts forwarding. It resets the client's connection when the target can't be reached.
func (p *Proxy) connect(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		resetOnClose(client)
		_ = client.Close()
		return
	}
	c := &connection{proxy: p, client: client, target: server, closed: make(chan struct{})}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	go c.forward(client, server, func(i Impairment) bool { return i.StallToTarget })
	go c.forward(server, client, func(i Impairment) bool { return i.StallFromTarget })
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.target.Close()
		c.proxy.mu.Lock()
		defer c.proxy.mu.Unlock()
		delete(c.proxy.connections, c)
	})
}

// reset closes both sides with a TCP reset.
func (c *connection) reset() {
	resetOnClose(c.client)
	resetOnClose(c.target)
	c.close()
}

// resetOnClose makes the close of a connection send a TCP reset instead of a FIN.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// SetLinger only fails on a closed connection.
		_ = tcp.SetLinger(0)
	}
}

// forward copies one direction until either side closes. An error on the reading side, such as a reset, resets both
// sides, because a plain close would look like a regular end of the data.
func (c *connection) forward(from, to net.Conn, stalled func(Impairment) bool) {
	defer c.close()
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && c.admit(stalled) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

// admit applies the impairment to a chunk: it waits, and reports false when the chunk must be discarded.
func (c *connection) admit(stalled func(Impairment) bool) bool {
	for first := true; ; first = false {
		c.proxy.mu.Lock()
		impairment, blackholed := c.proxy.impairment, c.blackholed
		c.proxy.mu.Unlock()
		delay := time.Duration(0)
		switch {
		case blackholed:
			return false
		case stalled(impairment):
			delay = stallPollInterval
		case first && impairment.Delay > 0:
			delay = impairment.Delay
		default:
			return true
		}
		select {
		case <-c.closed:
			return false
		case <-time.After(delay):
		}
	}
}
