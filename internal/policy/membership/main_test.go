package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that a run gives the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
