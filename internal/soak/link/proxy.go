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
	// stallPollInterval is the time between two looks whether a held direction flows again.
	stallPollInterval = 10 * time.Millisecond
	chunkSize         = 32 << 10
)

// Impairment is what a proxy does to all its connections, also new ones.
type Impairment struct {
	// Delay holds every chunk back.
	Delay time.Duration
	// StallToTarget and HoldBack stop the bytes to the target and from it.
	StallToTarget   bool
	StallFromTarget bool
}

// Proxy listens on loopback for one target; it is safe for concurrent use.
type Proxy struct {
	mu          sync.Mutex
	target      string
	impairment  Impairment
	connections map[*connection]bool
	listener    net.Listener
}

// connection is a connection and its other half at the target.
type connection struct {
	proxy  *Proxy
	client net.Conn
	target net.Conn
	once   sync.Once
	closed chan struct{}
	// blackholed drops all bytes from now on; the proxy's lock guards it.
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

// Address returns where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetTarget directs new connections elsewhere.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetImpairment replaces what is done to all connections.
func (p *Proxy) SetImpairment(i Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = i
}

// BlackholeOpen has the open connections carry nothing any more, while new ones work.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.blackholed = true
	}
}

// Reset breaks the open connections off.
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

// Close ends the proxy and its connections.
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

// connect connects to the target; a target that refuses resets the caller.
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
	go c.forward(client, server, func(h Impairment) bool { return h.StallToTarget })
	go c.forward(server, client, func(h Impairment) bool { return h.StallFromTarget })
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

// reset closes both halves so that their peers see a reset.
func (c *connection) reset() {
	resetOnClose(c.client)
	resetOnClose(c.target)
	c.close()
}

// resetOnClose has a connection end with a reset when it is closed.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// It only fails for a connection that has ended.
		_ = tcp.SetLinger(0)
	}
}

// forward copies one direction until either side ends; a side that was reset resets the other.
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

// admit delays a chunk, and reports false for one that is dropped.
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
