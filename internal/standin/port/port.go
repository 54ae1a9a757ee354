package port

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports lie below those that the kernel gives to clients, so that no connection takes one while its owner is down.
const (
	firstPort = 10_000
	lastPort  = 32_000
	tries     = 1_000
)

var (
	mu    sync.Mutex
	given = make(map[int]bool)
)

// Free returns a loopback address that nothing listens on, each only once a process; the error is that of the last try.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var err error
	for range tries {
		// Random, since other processes look for ports as well.
		n := firstPort + rand.IntN(lastPort-firstPort)
		if given[n] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", n)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			given[n] = true
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d: %w", firstPort, lastPort, err)
}
