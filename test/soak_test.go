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

// soakSeeds are run each time; those with a cause broke a promise once.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "a proxy turned a server's reset into a clean end (MIXED)"},
	{13, "a run beside it had taken a daemon's port (not ready)"},
}

// TestSoak runs daemons as processes under random faults for a short time.
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
				t.Fatalf("%v, %v: %s", err, decodeErr, errs.String())
			}
			if diff := cmp.Diff([]string(nil), report.Violations); diff != "" {
				t.Errorf("earlier cause: %s; broken promises (-want +got):\n%s", s.cause, diff)
			}
			if report.Count.Served == 0 {
				t.Errorf("nothing was served: %+v", report.Count)
			}
		})
	}
}
