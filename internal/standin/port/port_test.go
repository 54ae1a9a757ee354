package port

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// childCount makes the test binary print that many free addresses instead of running its tests.
const childCount = "PORT_TEST_COUNT"

func TestMain(m *testing.M) {
	var count int
	if _, err := fmt.Sscan(os.Getenv(childCount), &count); err != nil {
		os.Exit(m.Run())
	}
	for range count {
		address, err := Free()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(address)
	}
}

func TestOtherProcessesGetOtherAddresses(t *testing.T) {
	const count = 2_000
	var seen [2][]string
	for i := range seen {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", childCount, count))
		out, err := cmd.Output()
		if err != nil {
			t.Fatal(err)
		}
		seen[i] = strings.Fields(string(out))
	}
	owner, both := make(map[string]int), 0
	for i, addresses := range seen {
		for _, address := range addresses {
			if other, ok := owner[address]; ok && other != i {
				both++
			}
			owner[address] = i
		}
	}
	if both > 0 || len(owner) != 2*count {
		t.Errorf("%d distinct addresses, %d of them given to both processes; want %d and 0", len(owner), both, 2*count)
	}
}

// TestAddressIsFreeWhileProcessesStart guards against a probe of a port that a process which is just being started inherits, so that nobody
// else can listen there until it runs.
func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range 8 {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run()
			}
		})
	}
	for range 1_000 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if l, err = Listen(address); err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
	}
}
