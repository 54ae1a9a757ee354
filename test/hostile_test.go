package test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisygap/daisygap"
	"github.com/daisygap/daisygap/internal/standin/site"
)

const (
	// hostileTime is how long a crowd sends before the ordinary request, beside which it keeps its connections open.
	hostileTime = 4 * time.Second
	// hostileClients is the size of a crowd, and hostileConnections that of one that exceeds the limit on descriptors.
	hostileClients     = 250
	hostileConnections = 600
	// hostileBody is the size of a body that is permitted.
	hostileBody = 2 << 20
)

// hostileClient sends what it likes to a new connection. It returns when nothing more is to be sent.
type hostileClient func(conn net.Conn, h *hostileTarget, i int)

var zeros = make([]byte, hostileBody)

// bodyHead returns the head of a request with a body, on a known route, a route that doesn't exist, or a known route without a key.
func bodyHead(h *hostileTarget, i int, framing string) string {
	path, head := "/orders/1", h.head
	switch i % 5 {
	case 3:
		path = "/nowhere"
	case 4:
		head = strings.ReplaceAll(head, hostileKey, "unknown")
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sRequest-Id: hostile-%d\r\n%s\r\n\r\n", path, head, i, framing)
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunked = "Transfer-Encoding: chunked"

// hostileBodies are the kinds of clients that send bodies.
var hostileBodies = []hostileClient{
	func(conn net.Conn, h *hostileTarget, i int) { // whole
		_, _ = io.WriteString(conn, bodyHead(h, i, length(hostileBody)))
		_, _ = conn.Write(zeros)
	},
	func(conn net.Conn, h *hostileTarget, i int) { // short of the end
		_, _ = io.WriteString(conn, bodyHead(h, i, length(hostileBody)))
		_, _ = conn.Write(zeros[1:])
	},
	func(conn net.Conn, h *hostileTarget, i int) { // small and short of the end
		_, _ = io.WriteString(conn, bodyHead(h, i, length(60<<10)))
		_, _ = conn.Write(zeros[:60<<10-1])
	},
	func(conn net.Conn, h *hostileTarget, i int) { // in pieces, short of the end
		_, _ = io.WriteString(conn, bodyHead(h, i, length(hostileBody)))
		for n := 0; n+1<<14 < hostileBody; n += 1 << 14 {
			if _, err := conn.Write(zeros[:1<<14]); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	},
	func(conn net.Conn, h *hostileTarget, i int) { // large chunks, and a trailer that doesn't end
		_, _ = fmt.Fprintf(conn, "%s%x\r\n", bodyHead(h, i, chunked), hostileBody)
		_, _ = conn.Write(zeros)
		_, _ = io.WriteString(conn, "\r\n0\r\nTrailer: "+strings.Repeat("x", 3<<10)+"\r\n")
	},
	func(conn net.Conn, h *hostileTarget, i int) { // small chunks with long extensions
		_, _ = io.WriteString(conn, bodyHead(h, i, chunked))
		part := strings.Repeat("1;"+strings.Repeat("e", 1<<10)+"\r\nx\r\n", 16)
		for range 200 {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	},
	func(conn net.Conn, h *hostileTarget, i int) { // small chunks
		_, _ = io.WriteString(conn, bodyHead(h, i, chunked))
		part := strings.Repeat("1\r\nx\r\n", 1<<13)
		for range 128 {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
	},
	func(conn net.Conn, h *hostileTarget, i int) { // over the limit, announced
		_, _ = io.WriteString(conn, bodyHead(h, i, length(1<<30)))
		for range 32 {
			if _, err := conn.Write(zeros); err != nil {
				return
			}
		}
	},
	func(conn net.Conn, h *hostileTarget, i int) { // over the limit, not announced
		_, _ = io.WriteString(conn, bodyHead(h, i, chunked))
		for range 64 {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(zeros), zeros); err != nil {
				return
			}
		}
	},
	func(conn net.Conn, h *hostileTarget, i int) { // with Expect
		_, _ = io.WriteString(conn, bodyHead(h, i, length(hostileBody)+"\r\nExpect: 100-continue"))
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = conn.Read(make([]byte, 64))
		_, _ = conn.Write(zeros[1:])
	},
}

// hostileHeads are the kinds of clients that need nothing but connections.
var hostileHeads = []hostileClient{
	func(net.Conn, *hostileTarget, int) {}, // silent
	func(conn net.Conn, h *hostileTarget, _ int) { // header without end
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n"+h.head+strings.Repeat("X: "+strings.Repeat("x", 1<<10)+"\r\n", 14))
	},
	func(conn net.Conn, h *hostileTarget, i int) { // idle after a request
		_, _ = fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\n%sRequest-Id: hostile-%d\r\nContent-Length: 2\r\n\r\nok", h.head, i)
	},
	func(conn net.Conn, h *hostileTarget, i int) { // body that doesn't begin
		_, _ = io.WriteString(conn, bodyHead(h, i, length(100)))
	},
}

// hostilePeers are the kinds of clients at the listeners that aren't for callers' requests.
var hostilePeers = append([]hostileClient{
	func(conn net.Conn, _ *hostileTarget, _ int) { // message between daemons, short of the end
		_, _ = conn.Write(binary.BigEndian.AppendUint32(nil, hostileBody))
		_, _ = conn.Write(zeros[1:])
	},
	func(conn net.Conn, h *hostileTarget, _ int) { // header without end
		_, _ = io.WriteString(conn, "GET /metrics HTTP/1.1\r\n"+h.head+strings.Repeat("X: "+strings.Repeat("x", 1<<10)+"\r\n", 14))
	},
	func(conn net.Conn, h *hostileTarget, _ int) { // responses that aren't read
		_, _ = io.WriteString(conn, strings.Repeat("GET /metrics HTTP/1.1\r\n"+h.head+"\r\n", 1<<10))
	},
}, hostileBodies...)

// readsNothing sends requests for large responses.
func readsNothing(conn net.Conn, h *hostileTarget, i int) {
	_, _ = fmt.Fprintf(conn, "GET /reads/%d HTTP/1.1\r\n%sRequest-Id: hostile-%d\r\n\r\n", i, h.head, i)
}

// runCrowd connects count clients to the addresses, each again when its connection ends, until the context does. Their connections are
// then closed.
func runCrowd(ctx context.Context, h *hostileTarget, addresses []string, clients []hostileClient, count int, reads bool) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			for n := i; ctx.Err() == nil; n += count {
				conn, err := net.DialTimeout("tcp", addresses[i%len(addresses)], time.Second)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					clients[n%len(clients)](conn, h, n)
					_ = conn.SetReadDeadline(time.Time{})
					if reads {
						_, _ = io.Copy(io.Discard, conn)
					} else {
						<-ctx.Done()
					}
					stop()
					_ = conn.Close()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// TestHostileClients guards against processes that hostile clients make run out of memory or descriptors, or hang. Each crowd meets a daemon
// in a process of its own.
func TestHostileClients(t *testing.T) {
	program := filepath.Join(t.TempDir(), "daisygap")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/daisygap").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	daemons := []struct {
		name  string
		build func(t *testing.T) (*hostileTarget, *daisygap.Settings)
	}{{"steering", steeringTarget}, {"leases", entryTarget}}
	crowds := []struct {
		name    string
		clients []hostileClient
		count   int
		others  bool
		unread  bool
	}{
		{name: "bodies", clients: hostileBodies, count: hostileClients},
		{name: "bodies short of the end", clients: hostileBodies[1:2], count: hostileClients},
		{name: "other addresses", clients: hostilePeers, count: hostileClients, others: true},
		{name: "connections", clients: hostileHeads, count: hostileConnections},
		{name: "unread responses", clients: []hostileClient{readsNothing}, count: hostileClients, unread: true},
	}
	for _, d := range daemons {
		for _, c := range crowds {
			t.Run(d.name+" "+c.name, func(t *testing.T) {
				h, settings := d.build(t)
				h.start(t, program, settings)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				addresses := []string{h.caller}
				if c.others {
					addresses = h.others
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					runCrowd(ctx, h, addresses, c.clients, c.count, !c.unread)
				}()
				for end := time.Now().Add(hostileTime); time.Now().Before(end) && h.measure(); {
					time.Sleep(20 * time.Millisecond)
				}
				orders := 0
				answered := site.Await(20*time.Second, func() bool {
					orders++
					return h.measure() && h.order(fmt.Sprintf("ordinary-%d", orders)) > 0
				})
				alive := h.measure()
				if status, err := h.get(h.ready); alive && (err != nil || status != http.StatusOK) {
					t.Errorf("the readiness check got %d, %v", status, err)
				}
				cancel()
				<-done
				t.Logf("at most %d MB and %d descriptors, response to order %d", h.peakMB, h.files, orders)
				if !alive {
					t.Fatalf("the process ended: %s", h.logTail())
				}
				if !answered {
					t.Error("no ordinary request got a response")
				}
				if h.peakMB > h.maxMB {
					t.Errorf("resident memory of %d MB, want at most %d MB", h.peakMB, h.maxMB)
				}
				if h.files > maxHostileFiles {
					t.Errorf("%d descriptors, want at most %d", h.files, maxHostileFiles)
				}
			})
		}
	}
}
