package peer

import (
	"context"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap"
)

// allowanceService returns the same reply to every report and keeps the last one.
type allowanceService struct {
	daisygap.SteeringService
	reply daisygap.AllowanceReply
	got   *daisygap.AllowanceReport
}

func (s allowanceService) ServeAllowance(r daisygap.AllowanceReport) daisygap.AllowanceReply {
	*s.got = r
	return s.reply
}

func serveAllowances(t testing.TB, s allowanceService) (*Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{Steering: s}
	go server.Run(l)
	c := &Client{}
	t.Cleanup(func() {
		c.Close()
		_ = l.Close()
		server.Close()
	})
	return c, l.Addr().String()
}

// TestAllowanceReportsAreWhole guards against reports or replies that lose a field between daemons.
func TestAllowanceReportsAreWhole(t *testing.T) {
	want := daisygap.AllowanceReply{
		Version: 1 << 47, Limits: []daisygap.AllowanceLimit{{Customer: 1<<48 - 1, Fraction: 0.25, Wait: 40}, {Customer: 2, Fraction: 1}},
		Full: true, Late: []int{1}, Silent: []int{0, 2},
	}
	var got daisygap.AllowanceReport
	c, address := serveAllowances(t, allowanceService{reply: want, got: &got})
	report := daisygap.AllowanceReport{
		From: "host-1", Slots: 4, Heard: 16, Slot: 3, Seen: 1<<47 - 1, Uses: []daisygap.AllowanceUse{{Customer: 1<<48 - 1, Admitted: -1, Refused: 7}},
	}
	reply, err := c.Allowance(context.Background(), address, report)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, reply); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(report, got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

// BenchmarkAllowance sends the report of a daemon with seven customers in a quarter of a second. Both ends run here.
func BenchmarkAllowance(b *testing.B) {
	var got daisygap.AllowanceReport
	c, address := serveAllowances(b, allowanceService{reply: daisygap.AllowanceReply{Version: 1 << 40}, got: &got})
	report := daisygap.AllowanceReport{From: "front-n-1-1", Slots: 4, Seen: 1 << 40}
	for i := range uint64(7) {
		report.Uses = append(report.Uses, daisygap.AllowanceUse{Customer: 1<<47 + i*7_919, Admitted: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Allowance(context.Background(), address, report); err != nil {
			b.Fatal(err)
		}
	}
}
