package promise

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/instance"
)

var (
	order = Route{Pool: "desk", Attempts: 2, Timeout: 2 * time.Second}
	read  = Route{Pool: "stock", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second}

	public  = Route{Pool: "stock", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Public: true}
	held    = Key{Value: KeyPrefix + "held", Customer: "held"}
	metered = Key{Value: KeyPrefix + "metered", Customer: "metered"}
	unknown = Key{Value: KeyPrefix + "unknown"}
)

// scenario is a Checker with one server of each pool and short methods for the events of a request.
type scenario struct {
	*Checker
	desk  *Server
	stock *Server
}

func newScenario() *scenario {
	return &scenario{
		Checker: &Checker{Faults: &FaultHistory{}, RetryRatio: 0.2, RetrySlack: 2},
		desk:    &Server{ID: "desk", Pool: "desk", Domain: "n-1", Region: "north"},
		stock:   &Server{ID: "stock", Pool: "stock", Domain: "n-1", Region: "north"},
	}
}

func (s *scenario) send(id string, r Route, offset time.Duration) {
	s.RequestSent(Request{ID: id, Path: "/" + id, Route: r, Daemon: "host", Sent: time.Now().Add(offset)})
}

// ask sends a request with a key where routes need one.
func (s *scenario) ask(id string, r Route, k Key) {
	s.NeedsKeys, s.Allowances = true, map[string]Allowance{metered.Customer: {Rate: 2, Burst: 3}}
	s.RequestSent(Request{ID: id, Path: "/" + id, Route: r, Key: k, Daemon: "host", Sent: time.Now()})
}

// receive lets the server stock execute a request that bears these customers' names.
func (s *scenario) receive(id string, customers ...string) {
	s.receiveAt(s.stock, id, customers...)
}

func (s *scenario) receiveAt(server *Server, id string, customers ...string) {
	s.RequestArrived(server, instance.Arrival{ID: id, Path: "/" + id, Executed: true, Header: http.Header{"Tenant": customers}})
}

// withdrawn returns the key of a generation that the next one withdrew some time ago.
func (s *scenario) withdrawn(ago time.Duration) Key {
	k := Key{Value: KeyPrefix + "old", Customer: held.Customer, Generation: s.RouteAdded()}
	s.RouteAdded()
	s.RouteRemoved(k.Generation)
	s.generations[k.Generation].removed = time.Now().Add(-ago)
	return k
}

// use sends n requests of the customer metered, with two attempts for the first.
func (s *scenario) use(n int) {
	s.RetrySlack = 100
	for i := range n {
		id := fmt.Sprint(i)
		s.ask(id, read, metered)
		s.receive(id, metered.Customer)
		s.complete(id, 200)
	}
	s.receive("0", metered.Customer)
}

func (s *scenario) execute(id string, server *Server) {
	s.RequestArrived(server, instance.Arrival{ID: id, Path: "/" + id, Executed: true})
}

func (s *scenario) complete(id string, status int) {
	r := Result{Connected: true, Complete: true, Status: status, Ended: time.Now()}
	if status == http.StatusOK {
		r.ID, r.Stamp, r.Body = id, "stamp-"+id, instance.Body
	}
	s.RequestEnded(id, r)
}

// truncate ends a request without a complete response.
func (s *scenario) truncate(id string) {
	s.RequestEnded(id, Result{Connected: true, Ended: time.Now()})
}

// TestCheckerFindsViolations guards against a checker that misses violations, or reports behaviour that the rules
// allow. It has at least one violation for each rule.
func TestCheckerFindsViolations(t *testing.T) {
	const long = 20 * time.Second
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	southOnly := read
	southOnly.HomeRegion = "south"
	tests := []struct {
		name string
		run  func(*scenario)
		want []string
	}{
		{"served", func(s *scenario) { s.send("a", order, 0); s.execute("a", s.desk); s.complete("a", 200) }, nil},
		{"no caller sent it", func(s *scenario) { s.execute("a", s.desk) }, []string{"UNASKED"}},
		{"modified on the way", func(s *scenario) {
			s.send("a", order, 0)
			s.RequestArrived(s.desk, instance.Arrival{ID: "a", Path: "/b", Executed: true})
		}, []string{"UNASKED"}},
		{"non-idempotent request executed twice", func(s *scenario) { s.send("a", order, 0); s.execute("a", s.desk); s.execute("a", s.desk) }, []string{"TWICE"}},
		{"idempotent request executed twice", func(s *scenario) { s.send("a", read, 0); s.execute("a", s.stock); s.execute("a", s.stock) }, nil},
		{"refused after execution", func(s *scenario) { s.send("a", order, 0); s.execute("a", s.desk); s.complete("a", 503) }, []string{"REFUSED"}},
		{"idempotent request refused after execution", func(s *scenario) { s.send("a", read, 0); s.execute("a", s.stock); s.complete("a", 503) }, []string{"REFUSED"}},
		{"executed after refusal", func(s *scenario) { s.send("a", order, 0); s.complete("a", 503); s.execute("a", s.desk) }, []string{"REFUSED"}},
		{"failed after execution", func(s *scenario) { s.send("a", order, 0); s.execute("a", s.desk); s.complete("a", 502) }, nil},
		{"response to another request", func(s *scenario) {
			s.send("a", read, 0)
			s.RequestEnded("a", Result{Connected: true, Complete: true, Status: 200, ID: "b", Stamp: "stamp-b", Body: instance.Body})
		}, []string{"MIXED"}},
		{"body truncated in a complete response", func(s *scenario) {
			s.send("a", read, 0)
			s.RequestEnded("a", Result{Connected: true, Complete: true, Status: 200, ID: "a", Stamp: "stamp-a", Body: instance.Body[:9]})
		}, []string{"MIXED"}},
		{"executed in another pool", func(s *scenario) { s.send("a", order, 0); s.execute("a", s.stock) }, []string{"ROUTE"}},
		{"executed outside the home region", func(s *scenario) { s.send("a", southOnly, 0); s.execute("a", s.stock) }, []string{"HOME"}},
		{"denied", func(s *scenario) { s.send("a", read, 0); s.complete("a", 400) }, []string{"DENIED"}},
		{"no route for a permanent path", func(s *scenario) { s.send("a", read, 0); s.complete("a", 404) }, []string{"DENIED"}},
		{"four requests executed three times each", func(s *scenario) {
			s.RetrySlack = 100
			for i := range 4 {
				id := fmt.Sprint(i)
				s.send(id, read, 0)
				s.execute(id, s.stock)
				s.execute(id, s.stock)
				s.execute(id, s.stock)
			}
		}, []string{"BUDGET"}},
		{"retries above the budget", func(s *scenario) {
			for i := range 4 {
				id := fmt.Sprint(i)
				s.send(id, read, 0)
				s.execute(id, s.stock)
				s.execute(id, s.stock)
				s.complete(id, 200)
			}
		}, []string{"BUDGET"}},
		{"sent after the drain bound", func(s *scenario) {
			s.stock.drainingSince = ago(3 * time.Second)
			s.send("a", read, 0)
			s.execute("a", s.stock)
		}, []string{"DRAIN"}},
		{"sent within the drain bound", func(s *scenario) {
			s.stock.drainingSince = ago(2 * time.Second)
			s.send("a", read, 0)
			s.execute("a", s.stock)
		}, nil},
		{"sent after the drain bound, with a fault of the daemon", func(s *scenario) {
			s.stock.drainingSince = ago(3 * time.Second)
			s.Faults.Begin("host")()
			s.send("a", read, 0)
			s.execute("a", s.stock)
		}, nil},
		{"sent to an evacuated domain", func(s *scenario) {
			s.evacuated = map[string]time.Time{"n-1": ago(6 * time.Second)}
			s.send("a", read, 0)
			s.execute("a", s.stock)
		}, []string{"EVAC"}},
		{"too many requests to a cold server", func(s *scenario) {
			s.stock.ColdUntil, s.stock.ColdRequestRate = time.Now().Add(time.Second), 1
			for i := range 7 {
				id := fmt.Sprint(i)
				s.send(id, read, 0)
				s.execute(id, s.stock)
			}
		}, []string{"FAILBACK"}},
		{"innocent request blocked", func(s *scenario) {
			s.send("a", order, 0)
			s.RequestEnded("a", Result{Connected: true, Complete: true, Status: 503, Reason: string(daisygap.ReasonPoisoned), Ended: time.Now()})
		}, []string{"POISON"}},
		{"executed request truncated by a stop", func(s *scenario) {
			s.DaemonStopping("host")
			s.send("a", order, 0)
			s.execute("a", s.desk)
			s.truncate("a")
		}, []string{"LOST"}},
		{"request crosses the close of its connection", func(s *scenario) { s.DaemonStopping("host"); s.send("a", order, 0); s.truncate("a") }, nil},
		{"old unexecuted request truncated by a stop", func(s *scenario) { s.DaemonStopping("host"); s.send("a", order, -time.Second); s.truncate("a") }, []string{"LOST"}},
		{"four requests truncated without a reason", func(s *scenario) {
			for i := range 4 {
				id := fmt.Sprint(i)
				s.send(id, order, 0)
				s.execute(id, s.desk)
				s.truncate(id)
			}
		}, []string{"LOST"}},
		{"request truncated by a stop while the store is down", func(s *scenario) {
			s.Faults.Begin(AllDaemons)
			s.DaemonStopping("host")
			s.send("a", order, 0)
			s.execute("a", s.desk)
			s.truncate("a")
		}, []string{"LOST"}},
		{"added route not found", func(s *scenario) {
			r := read
			r.Generation = s.RouteAdded()
			s.generations[r.Generation].added = ago(3 * time.Second)
			s.send("a", r, 0)
			s.complete("a", 404)
		}, []string{"CONFIG"}},
		{"removed route still served", func(s *scenario) {
			r := read
			r.Generation = s.RouteAdded()
			s.generations[r.Generation].removed = ago(3 * time.Second)
			s.send("a", r, 0)
			s.execute("a", s.stock)
		}, []string{"CONFIG"}},
		{"served route not found later", func(s *scenario) {
			r := read
			r.Generation = s.RouteAdded()
			s.send("a", r, 0)
			s.execute("a", s.stock)
			s.send("b", r, time.Second)
			s.complete("b", 404)
		}, []string{"CONFIG"}},
		{"timeouts not enforced", func(s *scenario) {
			for i := range 8 {
				id := fmt.Sprint(i)
				s.send(id, read, -3*time.Second)
				s.complete(id, 504)
			}
		}, []string{"CONFIG"}},
		{"not served after recovery", func(s *scenario) {
			s.send("a", read, 0)
			s.complete("a", 503)
		}, []string{"RECOVER"}},
		{"served with the customer's name", func(s *scenario) { s.ask("a", read, held); s.receive("a", "held"); s.complete("a", 200) }, nil},
		{"key sent to a server", func(s *scenario) {
			s.ask("a", read, held)
			s.RequestArrived(s.stock, instance.Arrival{ID: "a", Path: "/a", Executed: true, Header: http.Header{"Tenant": {"held"}, "Authorization": {"Bearer " + held.Value}}})
		}, []string{"KEY"}},
		{"key in the path at a server", func(s *scenario) {
			s.ask("a", read, held)
			s.RequestArrived(s.stock, instance.Arrival{ID: "a", Path: "/a?" + held.Value, Header: http.Header{"Tenant": {"held"}}})
		}, []string{"KEY"}},
		{"another customer's name", func(s *scenario) { s.ask("a", read, held); s.receive("a", "other") }, []string{"TENANT"}},
		{"no customer's name", func(s *scenario) { s.ask("a", read, held); s.receive("a") }, []string{"TENANT"}},
		{"the caller's name beside that of the customer", func(s *scenario) { s.ask("a", read, held); s.receive("a", "held", "forged") }, []string{"TENANT"}},
		{"public route without a key", func(s *scenario) { s.ask("a", public, Key{}); s.receive("a"); s.complete("a", 200) }, nil},
		{"public route with the caller's name", func(s *scenario) { s.ask("a", public, Key{}); s.receive("a", "forged") }, []string{"TENANT"}},
		{"key that no customer has, served", func(s *scenario) { s.ask("a", read, unknown); s.receive("a") }, []string{"KEY"}},
		{"no key, served", func(s *scenario) { s.ask("a", read, Key{}); s.receive("a") }, []string{"KEY"}},
		{"key that no customer has, refused", func(s *scenario) { s.ask("a", read, unknown); s.complete("a", 401) }, nil},
		{"customer's key refused as unknown", func(s *scenario) { s.ask("a", read, held); s.complete("a", 401) }, []string{"DENIED"}},
		{"public route refused without a key", func(s *scenario) { s.ask("a", public, Key{}); s.complete("a", 401) }, []string{"DENIED"}},
		{"refused as unknown after execution", func(s *scenario) { s.ask("a", read, unknown); s.receive("a"); s.complete("a", 401) }, []string{"KEY", "REFUSED"}},
		{"executed after refusal over the allowance", func(s *scenario) { s.ask("a", read, metered); s.complete("a", 429); s.receive("a", "metered") }, []string{"REFUSED"}},
		{"upload executed twice", func(s *scenario) {
			s.ask("a", order, held)
			s.receiveAt(s.desk, "a", "held")
			s.receiveAt(s.desk, "a", "held")
		}, []string{"TWICE"}},
		{"withdrawn key served", func(s *scenario) { s.ask("a", read, s.withdrawn(4*time.Second)); s.receive("a", "held") }, []string{"KEY"}},
		{"withdrawn key served within the bound", func(s *scenario) { s.ask("a", read, s.withdrawn(2500*time.Millisecond)); s.receive("a", "held") }, nil},
		{"withdrawn key served by a daemon that was cut off", func(s *scenario) {
			s.Faults.Begin("host")()
			s.ask("a", read, s.withdrawn(4*time.Second))
			s.receive("a", "held")
		}, nil},
		{"withdrawn key served after a key of the newer configuration", func(s *scenario) {
			old := s.withdrawn(time.Second)
			s.ask("a", read, Key{Value: "b", Customer: "held", Generation: 2})
			s.receive("a", "held")
			s.newestServed["host/0"] = servedGeneration{2, ago(time.Second)}
			s.ask("b", read, old)
			s.receive("b", "held")
		}, []string{"KEY"}},
		{"withdrawn key refused", func(s *scenario) { s.ask("a", read, s.withdrawn(4*time.Second)); s.complete("a", 401) }, nil},
		{"added key refused", func(s *scenario) {
			s.withdrawn(time.Second)
			s.generations[2].added = ago(4 * time.Second)
			s.ask("a", read, Key{Value: "b", Customer: "held", Generation: 2})
			s.complete("a", 401)
		}, []string{"CONFIG"}},
		{"allowance used up", func(s *scenario) { s.use(34) }, nil},
		{"allowance exceeded", func(s *scenario) { s.use(35) }, []string{"ALLOWANCE"}},
		{"allowance exceeded twice", func(s *scenario) {
			s.use(35)
			for i := range s.used["metered"] {
				s.used["metered"][i].at = s.used["metered"][i].at.Add(-10 * time.Second)
			}
			s.use(40)
		}, []string{"ALLOWANCE", "ALLOWANCE"}},
		{"allowance exceeded by the edge of a window", func(s *scenario) {
			s.use(35)
			s.used["metered"][0].at = s.used["metered"][34].at.Add(time.Nanosecond - allowanceWindow)
		}, []string{"ALLOWANCE"}},
		{"allowance used up in a little over a window", func(s *scenario) {
			s.use(35)
			s.used["metered"][0].at = s.used["metered"][34].at.Add(-allowanceWindow)
		}, nil},
		{"refused over the allowance without a rate", func(s *scenario) {
			s.ask("a", read, held)
			s.RequestEnded("a", Result{Connected: true, Complete: true, Status: 429, Reason: string(daisygap.ReasonOverAllowance), Ended: time.Now()})
		}, []string{"ALLOWANCE"}},
		{"refused requests raise no retry budget", func(s *scenario) {
			for i := range 100 {
				s.ask(fmt.Sprint("refused", i), read, unknown)
				s.complete(fmt.Sprint("refused", i), 401)
			}
			for i := range 4 {
				id := fmt.Sprint(i)
				s.ask(id, read, held)
				s.receive(id, "held")
				s.receive(id, "held")
				s.complete(id, 200)
			}
		}, []string{"BUDGET"}},
		{"key in a log", func(s *scenario) { s.CheckLog("host", []byte("started\nrefused "+held.Value+"\n")) }, []string{"KEY"}},
		{"log without a key", func(s *scenario) { s.CheckLog("host", []byte("started\n")) }, nil},
		{"invalid status", func(s *scenario) {
			s.send("a", read, 0)
			s.RequestEnded("a", Result{Connected: true, InvalidStatus: true, Ended: time.Now()})
		}, []string{"STATUS"}},
		{"process ended by itself", func(s *scenario) { s.ProcessEnded("host", "exit status 2") }, []string{"ALIVE"}},
		{"stop failed", func(s *scenario) { s.StopFailed("host", time.Now(), http.ErrAbortHandler) }, []string{"STOP"}},
	}
	for _, tt := range tests {
		s := newScenario()
		tt.run(s)
		recoveredBy := time.Now().Add(long)
		if tt.name == "not served after recovery" {
			recoveredBy = time.Time{}
		}
		s.Close(nil, recoveredBy)
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

// TestCheckerFindsWorkAfterCancel guards against a checker that misses servers that go on with a request, or begin it,
// after its caller canceled it.
func TestCheckerFindsWorkAfterCancel(t *testing.T) {
	canceled := time.Now().Add(-time.Minute)
	tests := []struct {
		name string
		run  instance.Run
		want int
	}{
		{"stops within the bound", instance.Run{At: canceled, Ended: canceled.Add(100 * time.Millisecond)}, 0},
		{"never stops", instance.Run{At: canceled}, 1},
		{"begins after the cancellation", instance.Run{At: canceled.Add(time.Second), Ended: canceled.Add(time.Second)}, 2},
	}
	for _, tt := range tests {
		s := newScenario()
		var runs []instance.Run
		for i := range 8 {
			id := fmt.Sprint(i)
			s.RequestSent(Request{ID: id, Route: read, Daemon: "host", Sent: canceled, CancelAt: canceled})
			tt.run.ID = id
			runs = append(runs, tt.run)
		}
		s.Close(map[string][]instance.Run{"stock": runs}, time.Now())
		if got := s.Violations(); len(got) != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

func TestNoticesOfServersAreChecked(t *testing.T) {
	c := &Checker{Faults: &FaultHistory{}}
	s := &Server{ID: "s", Pool: "p", Pause: time.Second}
	now := time.Now()
	send := func(id string, sent, arrived time.Time, executed bool) *requestRecord {
		r := &requestRecord{request: Request{ID: id, Daemon: "d", Sent: sent, Route: Route{Pool: "p"}}}
		if executed {
			r.executions = []*execution{{server: s, at: arrived, leaving: s.notices.leaving}}
		}
		c.checkNotices(s, r, executed, arrived)
		return r
	}
	send("refused", now, now, false)
	for i := range 4 {
		send(fmt.Sprint("in the pause ", i), now, now.Add(600*time.Millisecond+time.Duration(i)), true)
	}
	send("after the pause", now, now.Add(1100*time.Millisecond), true)
	c.ServerLeaving(s)
	r := send("answered", now, now, true)
	r.result = &Result{Complete: true, Status: 200, Ended: now}
	r.noteDeparture()
	send("soon after", now.Add(time.Second), now.Add(time.Second), true)
	send("long after", now.Add(3*time.Second), now.Add(3*time.Second), true)
	want := []string{
		"BUDGET: d sent 3 requests to s during a pause, last in the pause 2",
		"DRAIN: d sent request long after to s 3s after it passed on a response of the leaving server",
	}
	if diff := cmp.Diff(want, c.Violations()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestLimitIsChecked sends a server that names its rate one request more than it may get, from a daemon that knows the rate or doesn't.
func TestLimitIsChecked(t *testing.T) {
	for _, tt := range []struct {
		name     string
		count    int
		informed bool
		want     int
	}{{"allowed", 11, true, 0}, {"one more", 12, true, 1}, {"daemon that doesn't know the rate", 12, false, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScenario()
			s.ServerLimited(s.stock, 1)
			if tt.informed {
				s.send("first", read, 0)
				s.execute("first", s.stock)
				s.complete("first", http.StatusOK)
			}
			s.stock.limit.named = s.stock.limit.named.Add(-limitNotice)
			for key, at := range s.stock.limit.informed {
				s.stock.limit.informed[key] = at.Add(-informedDelay)
			}
			for i := range tt.count {
				s.send(fmt.Sprint(i), read, 0)
				s.execute(fmt.Sprint(i), s.stock)
			}
			if got := s.Violations(); len(got) != tt.want || tt.want > 0 && !strings.HasPrefix(got[0], "LIMIT") {
				t.Errorf("violations %q, want %d", got, tt.want)
			}
		})
	}
}
