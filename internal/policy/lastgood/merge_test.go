package lastgood

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

func previous() *daisygap.SteeringConfig {
	return &daisygap.SteeringConfig{
		Version:   1,
		Routes:    []daisygap.Route{{Name: "a", Prefix: "/a/", Priority: 1}, {Name: "b", Prefix: "/b/", Priority: 1}},
		Pools:     map[string]daisygap.PoolLimits{"p": {Connections: 1}, "q": {Connections: 1}},
		Limits:    daisygap.RequestLimits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
		NeedsKeys: true,
		Customers: []daisygap.Customer{{Name: "x", Rate: 1}, {Name: "y", Rate: 1}},
	}
}

func TestMerge(t *testing.T) {
	tests := []struct {
		name string
		// dropped are the rows of the new version that could not be decoded. It has the valid rows a, p and x, with the number 2.
		dropped                   []daisygap.DroppedRow
		wantRoutes, wantCustomers []string
		wantPools                 map[string]int
		wantLimits                daisygap.RequestLimits
		wantKept                  []bool
	}{
		{
			name: "missing rows are removed", wantRoutes: []string{"a"}, wantCustomers: []string{"x"}, wantPools: map[string]int{"p": 2},
			wantLimits: daisygap.RequestLimits{BodyBytes: 9},
		},
		{
			name: "rows that can't be decoded stay",
			dropped: []daisygap.DroppedRow{
				{Table: daisygap.TableRoutes, Name: "b"},
				{Table: daisygap.TableServices, Name: "q"},
				{Table: daisygap.TableCustomers, Name: "y"},
				{Table: daisygap.TableLimits, Name: daisygap.LimitHeaderTimeout},
			},
			wantRoutes: []string{"a", "b"}, wantCustomers: []string{"x", "y"}, wantPools: map[string]int{"p": 2, "q": 1},
			wantLimits: daisygap.RequestLimits{BodyBytes: 9, HeaderTimeout: 3}, wantKept: []bool{true, true, true, true},
		},
		{
			name: "a valid row of the same name wins",
			dropped: []daisygap.DroppedRow{
				{Table: daisygap.TableRoutes, Name: "a"}, {Table: daisygap.TableServices, Name: "p"}, {Table: daisygap.TableCustomers, Name: "x"},
			},
			wantRoutes: []string{"a"}, wantCustomers: []string{"x"}, wantPools: map[string]int{"p": 2},
			wantLimits: daisygap.RequestLimits{BodyBytes: 9}, wantKept: []bool{false, false, false},
		},
		{
			name: "rows that are new or have no name stay out",
			dropped: []daisygap.DroppedRow{
				{Table: daisygap.TableRoutes, Name: "c"},
				{Table: daisygap.TableRoutes},
				{Table: daisygap.TableServices, Name: "r"},
				{Table: daisygap.TableCustomers},
				{Table: daisygap.TableLimits, Name: "unknown"},
			},
			wantRoutes: []string{"a"}, wantCustomers: []string{"x"}, wantPools: map[string]int{"p": 2},
			wantLimits: daisygap.RequestLimits{BodyBytes: 9}, wantKept: []bool{false, false, false, false, false},
		},
		{
			name: "a row that was dropped twice stays once",
			dropped: []daisygap.DroppedRow{
				{Table: daisygap.TableRoutes, Name: "b"}, {Table: daisygap.TableRoutes, Name: "b"},
			},
			wantRoutes: []string{"a", "b"}, wantCustomers: []string{"x"}, wantPools: map[string]int{"p": 2},
			wantLimits: daisygap.RequestLimits{BodyBytes: 9}, wantKept: []bool{true, false},
		},
		{
			name: "all rows of an unreadable table stay",
			dropped: []daisygap.DroppedRow{
				{Table: daisygap.TableCustomers, Whole: true}, {Table: daisygap.TableServices, Whole: true}, {Table: daisygap.TableLimits, Whole: true},
			},
			wantRoutes: []string{"a"}, wantCustomers: []string{"x", "y"}, wantPools: map[string]int{"p": 2, "q": 1},
			wantLimits: previous().Limits, wantKept: []bool{true, true, true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := &daisygap.SteeringConfig{
				Version: 2, Routes: []daisygap.Route{{Name: "a", Prefix: "/a/", Priority: 2}}, Pools: map[string]daisygap.PoolLimits{"p": {Connections: 2}},
				Limits: daisygap.RequestLimits{BodyBytes: 9}, NeedsKeys: true, Customers: []daisygap.Customer{{Name: "x", Rate: 2}}, Dropped: tt.dropped,
			}
			got := Merge(next, previous())
			pools := make(map[string]int)
			for name, p := range got.Pools {
				pools[name] = p.Connections
			}
			var kept []bool
			for _, d := range got.Dropped {
				kept = append(kept, d.Kept)
			}
			for _, diff := range []string{
				cmp.Diff(tt.wantRoutes, names(got.Routes, func(r daisygap.Route) string { return r.Name })),
				cmp.Diff(tt.wantCustomers, names(got.Customers, func(c daisygap.Customer) string { return c.Name })),
				cmp.Diff(tt.wantPools, pools), cmp.Diff(tt.wantLimits, got.Limits), cmp.Diff(tt.wantKept, kept),
			} {
				if diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			}
			if got.Version != 2 || got.Routes[0].Priority != 2 || got.Customers[0].Rate != 2 {
				t.Errorf("the rows of the new version don't come first: %+v", got)
			}
			if len(next.Routes) != 1 || len(next.Customers) != 1 || len(next.Pools) != 1 {
				t.Errorf("the argument was changed: %+v", next)
			}
		})
	}
}

func names[T any](rows []T, name func(T) string) []string {
	var list []string
	for _, row := range rows {
		list = append(list, name(row))
	}
	return list
}

// TestMergeLastsOverVersions guards against a row that is lost in the second version in a row that this daemon can't decode.
func TestMergeLastsOverVersions(t *testing.T) {
	config := previous()
	for version := uint64(2); version < 5; version++ {
		config = Merge(&daisygap.SteeringConfig{
			Version: version, Dropped: []daisygap.DroppedRow{{Table: daisygap.TableCustomers, Name: "y"}},
		}, config)
	}
	if diff := cmp.Diff([]daisygap.Customer{{Name: "y", Rate: 1}}, config.Customers); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestMergeWithoutPrevious(t *testing.T) {
	next := &daisygap.SteeringConfig{Version: 2, Dropped: []daisygap.DroppedRow{{Table: daisygap.TableRoutes, Name: "b"}}}
	if got := Merge(next, nil); got != next {
		t.Errorf("got %+v, want the new version", got)
	}
}
