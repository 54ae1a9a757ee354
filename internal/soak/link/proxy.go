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
	// lookSpan is the time between two looks whether a held direction flows again.
	lookSpan = 10 * time.Millisecond
	chunk    = 32 << 10
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
	mu       sync.Mutex
	target   string
	harm     Impairment
	pairs    map[*pair]bool
	listener net.Listener
}

// pair is a connection and its other half at the target.
type pair struct {
	proxy *Proxy
	near  net.Conn
	far   net.Conn
	once  sync.Once
	ended chan struct{}
	// silent drops all bytes from now on; the proxy's lock guards it.
	silent bool
}

// Open starts a proxy on a free port of the loopback interface.
func Open(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, pairs: make(map[*pair]bool), listener: l}
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
func (p *Proxy) SetImpairment(h Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
}

// BlackholeOpen has the open connections carry nothing any more, while new ones work.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
}

// Reset breaks the open connections off.
func (p *Proxy) Reset() {
	p.mu.Lock()
	var open []*pair
	for c := range p.pairs {
		open = append(open, c)
	}
	p.mu.Unlock()
	for _, c := range open {
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
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(near)
	}
}

// join connects to the target; a target that refuses resets the caller.
func (p *Proxy) join(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		abort(near)
		_ = near.Close()
		return
	}
	c := &pair{proxy: p, near: near, far: far, ended: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	go c.pump(near, far, func(h Impairment) bool { return h.StallToTarget })
	go c.pump(far, near, func(h Impairment) bool { return h.StallFromTarget })
}

func (c *pair) close() {
	c.once.Do(func() {
		close(c.ended)
		_ = c.near.Close()
		_ = c.far.Close()
		c.proxy.mu.Lock()
		defer c.proxy.mu.Unlock()
		delete(c.proxy.pairs, c)
	})
}

// reset closes both halves so that their peers see a reset.
func (c *pair) reset() {
	abort(c.near)
	abort(c.far)
	c.close()
}

// abort has a connection end with a reset when it is closed.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// It only fails for a connection that has ended.
		_ = tcp.SetLinger(0)
	}
}

// pump copies one direction until either side ends; a side that was reset resets the other.
func (c *pair) pump(from, to net.Conn, held func(Impairment) bool) {
	defer c.close()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 && c.wait(held) {
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

// wait delays a chunk, and reports false for one that is dropped.
func (c *pair) wait(held func(Impairment) bool) bool {
	for first := true; ; first = false {
		c.proxy.mu.Lock()
		h, silent := c.proxy.harm, c.silent
		c.proxy.mu.Unlock()
		span := time.Duration(0)
		switch {
		case silent:
			return false
		case held(h):
			span = lookSpan
		case first && h.Delay > 0:
			span = h.Delay
		default:
			return true
		}
		select {
		case <-c.ended:
			return false
		case <-time.After(span):
		}
	}
}
