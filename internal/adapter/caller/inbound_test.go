package caller

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

var config = &daisygap.Configuration{Kinds: map[string]daisygap.Kind{
	"all":    {TargetLatency: 100, MaxDeadline: 200, Match: []daisygap.Match{{Path: "/"}}},
	"orders": {TargetLatency: 300, MaxDeadline: 400, Match: []daisygap.Match{{Path: "/orders", Method: "POST"}}},
	"shop":   {TargetLatency: 500, MaxDeadline: 500, Match: []daisygap.Match{{Path: "/orders", Host: "shop.example"}}},
}}

func TestRead(t *testing.T) {
	tests := []struct {
		name, method, target string
		header               map[string]string
		hop                  bool
		kind, caller         string
		left                 daisygap.Millis
		problem              daisygap.Reason
	}{
		{name: "longest prefix wins", method: "POST", target: "/orders/1", kind: "orders", caller: "192.0.2.1", left: 300},
		{name: "method does not match", method: "GET", target: "/orders/1", kind: "all", caller: "192.0.2.1", left: 100},
		{name: "host before method", method: "POST", target: "http://shop.example/orders", kind: "shop", caller: "192.0.2.1", left: 500},
		{name: "deadline above the limit of the kind", method: "GET", target: "/", header: map[string]string{"Daisygap-Deadline": "9999"}, kind: "all", caller: "192.0.2.1", left: 200},
		{name: "negative deadline", method: "GET", target: "/", header: map[string]string{"Daisygap-Deadline": "-1"}, kind: "all", problem: daisygap.ReasonBadRequest},
		{name: "caller header of an untrusted caller is ignored", method: "GET", target: "/", header: map[string]string{"Daisygap-Caller": "other"}, kind: "all", caller: "192.0.2.1", left: 100},
		{name: "caller header of another daemon", method: "GET", target: "/", header: map[string]string{"Daisygap-Caller": "other"}, hop: true, kind: "all", caller: "other", left: 100},
		{name: "encoded slash is no separator", method: "POST", target: "/ord%65rs/1", kind: "all", caller: "192.0.2.1", left: 100},
		{name: "idempotency key too long", method: "GET", target: "/", header: map[string]string{"Idempotency-Key": strings.Repeat("x", 300)}, problem: daisygap.ReasonBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Reader{Clock: daisygap.NewManualClock(1_000), TrustedProxies: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}
			r := httptest.NewRequest(tt.method, tt.target, strings.NewReader("{}"))
			for name, value := range tt.header {
				r.Header.Set(name, value)
			}
			in, problem := d.Read(config, r, tt.hop)
			reason := daisygap.Reason("")
			left := in.Request.Deadline - 1_000
			if problem != nil {
				reason, left = problem.Reason, 0
			}
			got := []any{in.Request.Kind, in.Request.Caller, left, reason}
			if diff := cmp.Diff([]any{tt.kind, tt.caller, tt.left, tt.problem}, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzParseQuery(f *testing.F) {
	for _, seed := range []string{"kind=k", "kind=k&caller=10.0.0.1", "caller=x", "&&=", "kind=%zz"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, query string) {
		kind, _, ok := parseQuery(query)
		if ok && kind == "" {
			t.Error("query without a kind accepted")
		}
	})
}
