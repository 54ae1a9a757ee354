package promise

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap/internal/standin/instance"
)

var (
	order = Route{Pool: "desk", Attempts: 2, Timeout: 2 * time.Second}
	read  = Route{Pool: "stock", Repeat: true, Attempts: 2, Timeout: 2 * time.Second}
)

// story is a ledger with the names of things that happen to it.
type story struct {
	*Checker
	desk  *Server
	stock *Server
}

func newStory() *story {
	return &story{
		Checker: &Checker{Faults: &FaultHistory{}, RetryRatio: 0.2, RetrySlack: 2},
		desk:    &Server{ID: "desk", Pool: "desk", Domain: "n-1", Region: "north"},
		stock:   &Server{ID: "stock", Pool: "stock", Domain: "n-1", Region: "north"},
	}
}

func (s *story) ask(id string, r Route, sent time.Duration) {
	s.RequestSent(Request{ID: id, Path: "/" + id, Route: r, Daemon: "host", Sent: time.Now().Add(sent)})
}

func (s *story) run(id string, at *Server) {
	s.RequestArrived(at, instance.Arrival{ID: id, Path: "/" + id, Executed: true})
}

func (s *story) end(id string, status int) {
	r := Result{Connected: true, Complete: true, Status: status, Ended: time.Now()}
	if status == http.StatusOK {
		r.ID, r.Stamp, r.Body = id, "stamp-"+id, instance.Body
	}
	s.RequestEnded(id, r)
}

// cut ends a request without an answer.
func (s *story) cut(id string) {
	s.RequestEnded(id, Result{Connected: true, Ended: time.Now()})
}

// TestBrokenPromisesAreFound plays for each rule what breaks it, beside what it allows.
func TestBrokenPromisesAreFound(t *testing.T) {
	const long = 20 * time.Second
	ago := func(span time.Duration) time.Time { return time.Now().Add(-span) }
	home := read
	home.Home = "south"
	tests := []struct {
		name string
		play func(*story)
		want []string
	}{
		{"served", func(s *story) { s.ask("a", order, 0); s.run("a", s.desk); s.end("a", 200) }, nil},
		{"nobody asked", func(s *story) { s.run("a", s.desk) }, []string{"UNASKED"}},
		{"changed", func(s *story) {
			s.ask("a", order, 0)
			s.RequestArrived(s.desk, instance.Arrival{ID: "a", Path: "/b", Executed: true})
		}, []string{"UNASKED"}},
		{"an order twice", func(s *story) { s.ask("a", order, 0); s.run("a", s.desk); s.run("a", s.desk) }, []string{"TWICE"}},
		{"a read twice", func(s *story) { s.ask("a", read, 0); s.run("a", s.stock); s.run("a", s.stock) }, nil},
		{"refused and had run", func(s *story) { s.ask("a", order, 0); s.run("a", s.desk); s.end("a", 503) }, []string{"REFUSED"}},
		{"refused and ran later", func(s *story) { s.ask("a", order, 0); s.end("a", 503); s.run("a", s.desk) }, []string{"REFUSED"}},
		{"failed and had run", func(s *story) { s.ask("a", order, 0); s.run("a", s.desk); s.end("a", 502) }, nil},
		{"another's answer", func(s *story) {
			s.ask("a", read, 0)
			s.RequestEnded("a", Result{Connected: true, Complete: true, Status: 200, ID: "b", Stamp: "stamp-b", Body: instance.Body})
		}, []string{"MIXED"}},
		{"half an answer", func(s *story) {
			s.ask("a", read, 0)
			s.RequestEnded("a", Result{Connected: true, Complete: true, Status: 200, ID: "a", Stamp: "stamp-a", Body: instance.Body[:9]})
		}, []string{"MIXED"}},
		{"another pool", func(s *story) { s.ask("a", order, 0); s.run("a", s.stock) }, []string{"ROUTE"}},
		{"away from home", func(s *story) { s.ask("a", home, 0); s.run("a", s.stock) }, []string{"HOME"}},
		{"denied", func(s *story) { s.ask("a", read, 0); s.end("a", 400) }, []string{"DENIED"}},
		{"no route", func(s *story) { s.ask("a", read, 0); s.end("a", 404) }, []string{"DENIED"}},
		{"four reads on three servers", func(s *story) {
			s.RetrySlack = 100
			for i := range 4 {
				id := fmt.Sprint(i)
				s.ask(id, read, 0)
				s.run(id, s.stock)
				s.run(id, s.stock)
				s.run(id, s.stock)
			}
		}, []string{"BUDGET"}},
		{"many repeats", func(s *story) {
			for i := range 4 {
				id := fmt.Sprint(i)
				s.ask(id, read, 0)
				s.run(id, s.stock)
				s.run(id, s.stock)
				s.end(id, 200)
			}
		}, []string{"BUDGET"}},
		{"after it left", func(s *story) { s.stock.left = ago(3 * time.Second); s.ask("a", read, 0); s.run("a", s.stock) }, []string{"DRAIN"}},
		{"soon after it left", func(s *story) { s.stock.left = ago(2 * time.Second); s.ask("a", read, 0); s.run("a", s.stock) }, nil},
		{"after it left, in trouble", func(s *story) {
			s.stock.left = ago(3 * time.Second)
			s.Faults.Begin("host")()
			s.ask("a", read, 0)
			s.run("a", s.stock)
		}, nil},
		{"evacuated", func(s *story) {
			s.evacuated = map[string]time.Time{"n-1": ago(6 * time.Second)}
			s.ask("a", read, 0)
			s.run("a", s.stock)
		}, []string{"EVAC"}},
		{"cold", func(s *story) {
			s.stock.ColdUntil, s.stock.ColdRate = time.Now().Add(time.Second), 1
			for i := range 7 {
				id := fmt.Sprint(i)
				s.ask(id, read, 0)
				s.run(id, s.stock)
			}
		}, []string{"FAILBACK"}},
		{"cut at a stop", func(s *story) { s.DaemonStopping("host"); s.ask("a", order, 0); s.run("a", s.desk); s.cut("a") }, []string{"LOST"}},
		{"crossed a close", func(s *story) { s.DaemonStopping("host"); s.ask("a", order, 0); s.cut("a") }, nil},
		{"held and cut at a stop", func(s *story) { s.DaemonStopping("host"); s.ask("a", order, -time.Second); s.cut("a") }, []string{"LOST"}},
		{"cut four times", func(s *story) {
			for i := range 4 {
				id := fmt.Sprint(i)
				s.ask(id, order, 0)
				s.run(id, s.desk)
				s.cut(id)
			}
		}, []string{"LOST"}},
		{"cut while the store is down", func(s *story) {
			s.Faults.Begin(AllDaemons)
			s.DaemonStopping("host")
			s.ask("a", order, 0)
			s.run("a", s.desk)
			s.cut("a")
		}, []string{"LOST"}},
		{"late configuration", func(s *story) {
			r := read
			r.Generation = s.RouteAdded()
			s.generations[r.Generation].added = ago(3 * time.Second)
			s.ask("a", r, 0)
			s.end("a", 404)
		}, []string{"CONFIG"}},
		{"dropped route", func(s *story) {
			r := read
			r.Generation = s.RouteAdded()
			s.generations[r.Generation].removed = ago(3 * time.Second)
			s.ask("a", r, 0)
			s.run("a", s.stock)
		}, []string{"CONFIG"}},
		{"went back", func(s *story) {
			r := read
			r.Generation = s.RouteAdded()
			s.ask("a", r, 0)
			s.run("a", s.stock)
			s.ask("b", r, time.Second)
			s.end("b", 404)
		}, []string{"CONFIG"}},
		{"held past the timeout", func(s *story) {
			for i := range 8 {
				id := fmt.Sprint(i)
				s.ask(id, read, -3*time.Second)
				s.end(id, 504)
			}
		}, []string{"CONFIG"}},
		{"never back", func(s *story) {
			s.ask("a", read, 0)
			s.end("a", 503)
		}, []string{"RECOVER"}},
		{"overstayed", func(s *story) { s.StopFailed("host", time.Now(), http.ErrAbortHandler) }, []string{"STOP"}},
	}
	for _, tt := range tests {
		s := newStory()
		tt.play(s)
		recovered := time.Now().Add(long)
		if tt.name == "never back" {
			recovered = time.Time{}
		}
		s.Close(nil, recovered)
		var got []string
		for _, b := range s.Violations() {
			rule, _, _ := strings.Cut(b, ":")
			got = append(got, rule)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

// TestWorkAfterTheCallerLeft has servers go on, stop, or begin after the caller's leaving.
func TestWorkAfterTheCallerLeft(t *testing.T) {
	left := time.Now().Add(-time.Minute)
	tests := []struct {
		name string
		run  instance.Run
		want int
	}{
		{"stops soon", instance.Run{At: left, Ended: left.Add(100 * time.Millisecond)}, 0},
		{"goes on", instance.Run{At: left}, 1},
		{"begins later", instance.Run{At: left.Add(time.Second), Ended: left.Add(time.Second)}, 2},
	}
	for _, tt := range tests {
		s := newStory()
		var runs []instance.Run
		for i := range 8 {
			id := fmt.Sprint(i)
			s.RequestSent(Request{ID: id, Route: read, Daemon: "host", Sent: left, CancelAt: left})
			tt.run.ID = id
			runs = append(runs, tt.run)
		}
		s.Close(map[string][]instance.Run{"stock": runs}, time.Now())
		if got := s.Violations(); len(got) != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}
