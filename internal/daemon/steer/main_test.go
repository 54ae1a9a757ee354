package steer_test

import (
	"io"
	"log"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// net/http reports the stand-ins' stray answers there.
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
