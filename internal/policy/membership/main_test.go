package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
