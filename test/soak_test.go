package test

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/daisygap/daisygap/internal/soak/fault"
)

// soakSeeds are the seeds that are run. A cause is the fault that once made the seed fail.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "a proxy turned the reset of a server into a regular close of the connection (MIXED)"},
	{13, "a concurrent run took the port of a daemon, which then never became ready"},
}

// TestSoak runs daemons as separate processes under random faults for 8 s per seed. It fails when the checker finds a
// violation, or when no request is served.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "daisygap")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/daisygap").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range soakSeeds {
		t.Run(strconv.FormatUint(s.seed, 10), func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(binary, "soak", "--seed", strconv.FormatUint(s.seed, 10), "--for", "8s", "--daemons", "6", "--json", "--folder", t.TempDir())
			var out, errs bytes.Buffer
			cmd.Stdout, cmd.Stderr = &out, &errs
			err := cmd.Run()
			var report fault.Report
			if decodeErr := json.Unmarshal(out.Bytes(), &report); decodeErr != nil {
				t.Fatalf("soak: %v, report: %v, stderr: %s", err, decodeErr, errs.String())
			}
			if diff := cmp.Diff([]string(nil), report.Violations); diff != "" {
				t.Errorf("violations; earlier cause of this seed: %s (-want +got):\n%s", s.cause, diff)
			}
			if report.Count.Served == 0 {
				t.Errorf("no request was served: %+v", report.Count)
			}
		})
	}
}
