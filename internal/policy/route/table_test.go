package route

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func TestFindReturnsLongestPrefixOfHost(t *testing.T) {
	table := New([]daisygap.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "twice", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/yz/1", "short"},
		{"a.example", "/xy", "root"},
		{"A.EXAMPLE:8080", "/x/1", "short"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
		{"a.example", "*", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Find(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s%s (-want +got):\n%s", tt.host, tt.path, diff)
		}
	}
}

func TestSplitterFollowsWeights(t *testing.T) {
	s := &Splitter{}
	r := &daisygap.Route{Name: "r", Split: []daisygap.PoolWeight{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c", Weight: 0}}}
	counts := make(map[string]int)
	for n := 1; n <= 1000; n++ {
		counts[s.Next(r)]++
		if share := float64(counts["b"]) / float64(n); n >= 50 && (share < 0.07 || share > 0.13) {
			t.Fatalf("after %d requests b has a share of %.3f, want 0.1", n, share)
		}
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, counts); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	s.Prune(nil)
	if len(s.credit) != 0 {
		t.Error("the state of a removed route was kept")
	}
}

func BenchmarkFind(b *testing.B) {
	var routes []daisygap.Route
	for _, host := range []string{"a.example", "b.example"} {
		for _, prefix := range []string{"/", "/x/", "/x/y/", "/z/"} {
			routes = append(routes, daisygap.Route{Name: host + prefix, Host: host, Prefix: prefix})
		}
	}
	table := New(routes)
	b.ReportAllocs()
	for b.Loop() {
		if table.Find("b.example", "/x/y/some/object/17") == nil {
			b.Fatal("no route")
		}
	}
}
