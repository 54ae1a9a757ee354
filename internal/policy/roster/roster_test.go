package roster

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func heartbeat(name string, start int64, count uint64) daisygap.GossipHeartbeat {
	return daisygap.GossipHeartbeat{Name: name, Peer: &daisygap.Peer{Name: name}, StartTime: start, Counter: count}
}

func names(list []daisygap.GossipHeartbeat) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Name)
	}
	return out
}

func TestSilentDaemonIsDeadUntilItRestarts(t *testing.T) {
	r := &Roster{Self: heartbeat("self", 1, 1)}
	r.Merge([]daisygap.GossipHeartbeat{heartbeat("a", 1, 1), heartbeat("b", 1, 1), heartbeat("self", 9, 9), {}}, 0)
	r.Merge([]daisygap.GossipHeartbeat{heartbeat("a", 1, 2)}, 2_000)
	// The same counter again, received through a third daemon, doesn't show that the daemon is alive.
	r.Merge([]daisygap.GossipHeartbeat{heartbeat("b", 1, 1)}, 2_000)
	if diff := cmp.Diff([]string{"b"}, names(r.Suspects(1, DeadAfter))); diff != "" {
		t.Errorf("suspects (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"a"}, names(r.Alive(DeadAfter+500))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"a", "b"}, names(r.Known())); diff != "" {
		t.Errorf("known (-want +got):\n%s", diff)
	}
	if !r.Merge([]daisygap.GossipHeartbeat{heartbeat("b", 2, 1)}, DeadAfter+600) {
		t.Error("a new process was not reported as a change")
	}
	if r.Merge([]daisygap.GossipHeartbeat{heartbeat("b", 1, 50)}, DeadAfter+700) {
		t.Error("a heartbeat of the old process was reported as a change")
	}
	if diff := cmp.Diff([]string{"a", "b"}, names(r.Alive(DeadAfter+700))); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestLeavingIsReportedAsChange(t *testing.T) {
	r := &Roster{Self: heartbeat("self", 1, 1)}
	r.Merge([]daisygap.GossipHeartbeat{heartbeat("a", 1, 1)}, 0)
	p := heartbeat("a", 1, 2)
	p.Leaving = true
	if !r.Merge([]daisygap.GossipHeartbeat{p}, 100) {
		t.Error("leaving was not reported as a change")
	}
}

func TestSampleIsBounded(t *testing.T) {
	r := &Roster{Self: heartbeat("self", 1, 1)}
	for i := range 500 {
		r.Merge([]daisygap.GossipHeartbeat{heartbeat(fmt.Sprintf("d%03d", i), 1, 1)}, daisygap.Millis(i))
	}
	sample := r.Sample(500)
	if len(sample) != maxLocalSample+1 || sample[0].Name != "self" {
		t.Errorf("%d heartbeats, first %q", len(sample), sample[0].Name)
	}
	for _, h := range sample[1:] {
		if h.Name < "d250" {
			t.Errorf("%s is not among the half that advanced last", h.Name)
		}
	}
}

func TestStoreEntryMakesDaemonReachable(t *testing.T) {
	r := &Roster{Self: heartbeat("self", 1, 1)}
	p := heartbeat("a", 1, 1)
	p.Peer = nil
	r.Merge([]daisygap.GossipHeartbeat{p}, 0)
	if n := len(r.Alive(0)); n != 0 {
		t.Errorf("%d daemons without a known address are alive, want 0", n)
	}
	r.SetStorePeer(daisygap.Peer{Name: "a", Address: "10.0.0.1:80"})
	p.Counter = 2
	r.Merge([]daisygap.GossipHeartbeat{p}, 100)
	if list := r.Alive(100); len(list) != 1 || list[0].Peer.Address != "10.0.0.1:80" {
		t.Errorf("%+v", list)
	}
	if sample := r.Sample(100); sample[1].Peer != nil {
		t.Error("the sample repeats an address that the store holds")
	}
}

// TestRestartWithEarlierStartTime restarts a daemon after its clock was set back, soon or long after the previous process ended.
// Other daemons prefer the later start time, so they must not ignore the new process.
func TestRestartWithEarlierStartTime(t *testing.T) {
	for _, from := range []daisygap.Millis{0, 2 * DeadAfter} {
		other := &Roster{Self: heartbeat("other", 1, 1)}
		other.Merge([]daisygap.GossipHeartbeat{heartbeat("self", 5_000, 40)}, 0)
		restarted := &Roster{Self: heartbeat("self", 3_000, 1)}
		end := from + 2*DeadAfter
		for now := from; now <= end; now += 500 {
			restarted.Self.Counter++
			other.Self.Counter++
			other.Merge(restarted.Sample(now), now)
			restarted.Merge(other.Sample(now), now)
		}
		if diff := cmp.Diff([]string{"self"}, names(other.Alive(end))); diff != "" {
			t.Errorf("from %d ms (-want +got):\n%s", from, diff)
		}
	}
}

func TestDaemonsThatMayRunIncludeSilentOnes(t *testing.T) {
	r := Roster{Self: daisygap.GossipHeartbeat{Name: "self"}}
	heartbeat := func(name string, leaving bool) daisygap.GossipHeartbeat {
		return daisygap.GossipHeartbeat{Name: name, Peer: &daisygap.Peer{Name: name}, Counter: 1, Leaving: leaving}
	}
	r.Merge([]daisygap.GossipHeartbeat{heartbeat("a", false), heartbeat("b", true)}, 0)
	names := func(list []daisygap.GossipHeartbeat) []string {
		var names []string
		for _, h := range list {
			names = append(names, h.Name)
		}
		return names
	}
	if diff := cmp.Diff([]string{"a", "b"}, names(r.MayRun(1))); diff != "" {
		t.Errorf("at once (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"a"}, names(r.MayRun(30_000))); diff != "" {
		t.Errorf("after 30 s of silence (-want +got):\n%s", diff)
	}
	r.Alive(forgetAfter + 1)
	if diff := cmp.Diff([]string(nil), names(r.MayRun(forgetAfter+1))); diff != "" {
		t.Errorf("once forgotten (-want +got):\n%s", diff)
	}
}
