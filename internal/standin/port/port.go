package port

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// Ports lie below those that the kernel gives to clients, so that no connection takes one while its owner is down.
const (
	firstPort = 10_000
	lastPort  = 32_000
	maxTries  = 1_000
)

var (
	mu        sync.Mutex
	allocated = make(map[int]bool)
)

// Free returns a loopback address that nothing listens on, each only once a process; the error is that of the last try.
func Free() (string, error) {
	return FreeAt("127.0.0.1")
}

// UniqueIP returns a loopback IP address that no other process of this machine takes, so that its ports stay free while their owner is down.
func UniqueIP() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id>>16&0x7f, id>>8&0xff, id&0xff)
}

// FreeAt is Free for another loopback IP address.
func FreeAt(ip string) (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var err error
	for range maxTries {
		// Random, since other processes look for ports as well.
		n := firstPort + rand.IntN(lastPort-firstPort)
		if allocated[n] {
			continue
		}
		address := fmt.Sprintf("%s:%d", ip, n)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			allocated[n] = true
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d: %w", firstPort, lastPort, err)
}
