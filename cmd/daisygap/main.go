// Command daisygap is the traffic steering daemon and its operators' command line.
package main

import (
	"context"
	"os"

	"github.com/daisygap/daisygap/internal/command/run"
)

func main() {
	os.Exit(run.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
