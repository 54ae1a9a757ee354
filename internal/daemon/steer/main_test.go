package steer_test

import (
	"io"
	"log"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// net/http logs unsolicited responses of the simulated servers to the standard logger.
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
