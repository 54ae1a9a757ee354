package peer

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
)

// flakyListener fails to accept a few times before it accepts a connection.
type flakyListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesAcceptErrors guards against a daemon that no other daemon reaches any more after it was short of descriptors.
func TestServerOutlivesAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	flaky := &flakyListener{Listener: l}
	flaky.failures.Store(3)
	s := &Server{Steering: gossipService{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(flaky)
	}()
	c := &Client{}
	defer c.Close()
	if _, err := c.Gossip(l.Addr().String(), daisygap.Gossip{}); err != nil {
		t.Errorf("call after accept errors: %v", err)
	}
	_ = l.Close()
	s.Close()
	<-done
}

// lateListener accepts one connection when it is released.
type lateListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l lateListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.accepted; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// TestCloseEndsConnectionsJustAccepted guards against a stopping server that waits for a connection which nobody closes.
func TestCloseEndsConnectionsJustAccepted(t *testing.T) {
	l := lateListener{accepted: make(chan net.Conn)}
	s := &Server{Steering: gossipService{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(l)
	}()
	s.Close()
	here, there := net.Pipe()
	l.accepted <- there
	close(l.accepted)
	_ = here.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := here.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a connection that was accepted after Close isn't closed: %v", err)
	}
	<-done
}

// gossipService answers gossip with an empty message.
type gossipService struct{ daisygap.SteeringService }

func (gossipService) ServeGossip(daisygap.Gossip) daisygap.Gossip { return daisygap.Gossip{} }
