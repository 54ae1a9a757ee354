package peer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// waitingService holds each mirror query until its context ends.
type waitingService struct {
	daisygap.SteeringService
	started chan daisygap.StoreRevision
	ended   chan daisygap.StoreRevision
}

func (s waitingService) ServeMirror(ctx context.Context, q daisygap.MirrorQuery) daisygap.StoreUpdate {
	s.started <- q.After
	<-ctx.Done()
	s.ended <- q.After
	return daisygap.StoreUpdate{}
}

// TestAbandonedPollIsNotAnswered guards against relays that send each change once for every poll that its caller has given up.
func TestAbandonedPollIsNotAnswered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := waitingService{started: make(chan daisygap.StoreRevision, 2), ended: make(chan daisygap.StoreRevision, 2)}
	s := &Server{Steering: service}
	go s.Run(l)
	defer s.Close()
	defer func() { _ = l.Close() }()
	c := &Client{}
	defer c.Close()
	poll := func(after daisygap.StoreRevision) context.CancelFunc {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = c.Mirror(ctx, l.Addr().String(), daisygap.MirrorQuery{After: after, Wait: 5_000}) }()
		if got := <-service.started; got != after {
			t.Fatalf("query after %d started, want %d", got, after)
		}
		return cancel
	}
	poll(1)()
	cancel := poll(2)
	defer cancel()
	select {
	case got := <-service.ended:
		if got != 1 {
			t.Errorf("query after %d ended, want 1", got)
		}
	case <-time.After(2 * time.Second):
		t.Error("abandoned query still waits")
	}
}

// fixedService returns the same update to every query.
type fixedService struct {
	daisygap.SteeringService
	update daisygap.StoreUpdate
}

func (s fixedService) ServeMirror(context.Context, daisygap.MirrorQuery) daisygap.StoreUpdate {
	return s.update
}

func serveUpdate(t testing.TB, u daisygap.StoreUpdate) (*Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Steering: fixedService{update: u}}
	go s.Run(l)
	c := &Client{}
	t.Cleanup(func() {
		c.Close()
		_ = l.Close()
		s.Close()
	})
	return c, l.Addr().String()
}

// TestPackedUpdatesAreWhole compares an update that was packed for two daemons, and one for a daemon that knows no packed updates.
func TestPackedUpdatesAreWhole(t *testing.T) {
	want := daisygap.StoreUpdate{
		Entries: []daisygap.StoreEntry{
			{Key: "a", Value: []byte("{}"), Revision: 7, Lease: "3", Age: 12}, {Key: "b", Revision: 8, Deleted: true},
		},
		Revision: 9, Full: true, Skips: true, StoreLost: true, StoreErrorAge: 5,
	}
	c, address := serveUpdate(t, want)
	for range 2 {
		got, err := c.Mirror(context.Background(), address, daisygap.MirrorQuery{After: 3})
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("error %v (-want +got):\n%s", err, diff)
		}
	}
	var plain daisygap.StoreUpdate
	err := c.call(context.Background(), address, callTimeout, methodMirror, daisygap.MirrorQuery{After: 3}, &plain)
	if diff := cmp.Diff(want, plain); err != nil || diff != "" {
		t.Errorf("not packed: error %v (-want +got):\n%s", err, diff)
	}
	var p updatePacker
	first, err := p.pack(3, want)
	if err != nil {
		t.Fatal(err)
	}
	other := want
	other.Revision++
	if second, err := p.pack(3, other); err != nil || bytes.Equal(first, second) {
		t.Errorf("another revision got the same bytes, error %v", err)
	}
}

// BenchmarkMirror fetches an update with a configuration of 1,600 routes.
func BenchmarkMirror(b *testing.B) {
	var value bytes.Buffer
	for i := range 1_600 {
		fmt.Fprintf(&value, `["route-%d","host-%d.example","/p%d/","safe","2500ms","800ms",1,null,2,true,null,"stockbook"],`, i, i%7, i)
	}
	entry := daisygap.StoreEntry{Key: "op/config", Value: value.Bytes(), Revision: 5}
	c, address := serveUpdate(b, daisygap.StoreUpdate{Revision: 5, Entries: []daisygap.StoreEntry{entry}})
	b.ReportAllocs()
	b.SetBytes(int64(value.Len()))
	for b.Loop() {
		if _, err := c.Mirror(context.Background(), address, daisygap.MirrorQuery{After: 3}); err != nil {
			b.Fatal(err)
		}
	}
}
