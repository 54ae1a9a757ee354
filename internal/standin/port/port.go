package port

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The ports are below the kernel's ephemeral port range, so that no outgoing connection occupies one while its owner is
// down.
const (
	firstPort = 10_000
	lastPort  = 32_000
	maxTries  = 1_000
)

var (
	mu sync.Mutex
	// allocated are the ports that this process has handed out.
	allocated = make(map[int]bool)
)

// Free returns a loopback address that nothing listens on. It returns each port at most once per process, and other
// processes get other IP addresses. The error wraps that of the last attempt.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var err error
	ip := processIP()
	// A process that is being started would inherit the listener and keep the port until it runs.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range maxTries {
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

// listenTries is the number of attempts of Listen, and listenPause the time between two of them.
const (
	listenTries = 200
	listenPause = 10 * time.Millisecond
)

// Listen listens on an address that this process listened on before. It waits until processes that were being started when the former
// listener was closed no longer hold it.
func Listen(address string) (net.Listener, error) {
	var l net.Listener
	var err error
	for range listenTries {
		if l, err = net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(listenPause)
	}
	return l, err
}

// processIP returns a loopback IP address derived from the process ID, so that ports stay free while their owner is down.
func processIP() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id>>16&0x7f, id>>8&0xff, id&0xff)
}
