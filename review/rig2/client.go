package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/daisygap/daisygap/internal/standin/site"
)

// client is a connection of a client to a daemon.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// connectTimeout is the time that clients allow for a new connection.
const connectTimeout = time.Second

// resolve asks a daemon's directory for the daemons to connect to.
func resolve(d *daemon, region, zone string) ([]string, error) {
	c := &http.Client{Timeout: time.Second}
	res, err := c.Get(fmt.Sprintf("http://%s/resolution?name=%s&region=%s&zone=%s", d.directory, site.Host, region, zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Addresses, nil
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *client) close() {
	_ = c.conn.Close()
}

// answer is what a client got. The status is 0 if there is no complete answer.
type answer struct {
	status  int
	id      string
	stamp   string
	body    string
	closing bool
	err     error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, stamp %q, body %q", a.status, a.stamp, a.body)
}

// short returns the status, or 0 without a complete answer.
func (a answer) short() string {
	if a.err != nil {
		return fmt.Sprintf("0 (%v)", a.err)
	}
	return fmt.Sprintf("%d %s", a.status, a.stamp)
}

// post sends a small request with a body.
func (c *client) post(path, id string, budget time.Duration) answer {
	return c.send(http.MethodPost, path, id, "ok", budget)
}

// send sends a request, and waits for the answer until the time budget is over.
func (c *client) send(method, path, id, body string, budget time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(budget + 200*time.Millisecond))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, site.Host, id, budget.Milliseconds(), len(body), body)
	if err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, id: res.Header.Get("Request-Id"), stamp: res.Header.Get("Response-Stamp"), body: string(data), closing: res.Close}
}
