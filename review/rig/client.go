package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, object, body string
	deadline                   time.Duration
}

// answer is what a client saw.
type answer struct {
	id     string
	status int
	stamp  string
	body   string
	sent   time.Time
	ended  time.Time
	// err is set if there was no whole answer.
	err error
}

// served reports whether the answer is a server's success.
func (a answer) served() bool {
	return a.err == nil && a.status/100 == 2 && a.stamp != ""
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer: %v", a.err)
	}
	stamp := a.stamp
	if stamp == "" {
		stamp = "none"
	}
	return fmt.Sprintf("%d, Response-Stamp %s, body %q", a.status, stamp, a.body)
}

var lastID atomic.Int64

// conn is a client's connection to a daemon.
type conn struct {
	r   *rig
	d   *daemon
	tcp *net.TCPConn
	in  *bufio.Reader
	// pauseAfter is the number of bytes of a body after which the client pauses for a time.
	pauseAfter int
	pause      time.Duration
}

func (r *rig) connect(d *daemon) (*conn, error) {
	raw, err := net.DialTimeout("tcp", d.caller, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{r: r, d: d, tcp: raw.(*net.TCPConn), in: bufio.NewReader(raw)}, nil
}

func (c *conn) close() { _ = c.tcp.Close() }

// halfCloseDelay is the time after which a client that sends no other request closes its sending side.
const halfCloseDelay = 200 * time.Millisecond

// send sends a whole request and waits for the answer. With halfClose, the client closes its sending side a little later, and goes on
// reading.
func (c *conn) send(q request, halfClose bool) answer {
	a := answer{id: fmt.Sprintf("%016x", 0xc000000+lastID.Add(1))}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nCookie: Request-Affinity=%s\r\n",
		q.method, q.path, clientHost, a.id, q.deadline.Milliseconds(), q.object)
	if q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	a.sent = time.Now()
	c.r.note("client: %s %s %s sent to %s, time budget %d ms", a.id, q.method, q.path, c.d.name, q.deadline.Milliseconds())
	_ = c.tcp.SetDeadline(a.sent.Add(q.deadline + c.pause + time.Second))
	if c.pause > 0 {
		a.err = c.sendPaused(&a, text+"\r\n", q)
	} else if _, a.err = io.WriteString(c.tcp, text+"\r\n"+q.body); a.err == nil {
		if halfClose {
			timer := time.AfterFunc(halfCloseDelay, func() {
				c.r.note("client: %s closes its sending side", a.id)
				_ = c.tcp.CloseWrite()
			})
			defer timer.Stop()
		}
		c.read(&a, q.method)
	}
	a.ended = time.Now()
	c.r.note("client: %s gets %s (after %d ms)", a.id, a, a.ended.Sub(a.sent).Milliseconds())
	return a
}

// sendPaused sends a request with a pause in its body. The client reads meanwhile, and ends the pause when it has an answer.
func (c *conn) sendPaused(a *answer, head string, q request) error {
	if _, err := io.WriteString(c.tcp, head+q.body[:c.pauseAfter]); err != nil {
		return err
	}
	c.r.note("client: %s pauses after %d bytes of its body", a.id, c.pauseAfter)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.read(a, q.method)
	}()
	select {
	case <-answered:
		return a.err
	case <-time.After(c.pause):
	}
	c.r.note("client: %s goes on", a.id)
	// The daemon may have closed the connection; the answer shows it.
	_, _ = io.WriteString(c.tcp, q.body[c.pauseAfter:])
	<-answered
	return a.err
}

func (c *conn) read(a *answer, method string) {
	res, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	a.status, a.stamp, a.body, a.err = res.StatusCode, res.Header.Get("Response-Stamp"), strings.TrimSpace(string(body)), err
}

// once sends one request on a new connection.
func (r *rig) once(d *daemon, q request) answer {
	c, err := r.connect(d)
	if err != nil {
		return answer{err: err, sent: time.Now(), ended: time.Now()}
	}
	defer c.close()
	return c.send(q, false)
}
