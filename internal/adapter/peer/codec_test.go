package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/goleak"

	"github.com/daisygap/daisygap"
)

// echoService returns values from the parameters of a call, so that tests can check that the parameters were decoded.
type echoService struct{}

func (echoService) ServeHeartbeat(b daisygap.Heartbeat) daisygap.HeartbeatReply {
	return daisygap.HeartbeatReply{LeaseDuration: 5, LeaseholderAddress: b.Name}
}

func (echoService) ServeSync(d daisygap.Digest) daisygap.Delta {
	return daisygap.Delta{Version: d.Version}
}
func (echoService) ServePush(daisygap.Push) {}
func (echoService) ServeSnapshotPart(v uint64, n int) (daisygap.SnapshotPart, error) {
	return daisygap.SnapshotPart{Version: v, Count: n}, nil
}

func (echoService) ServeLoan(c daisygap.LoanRequest) daisygap.LoanReply {
	return daisygap.LoanReply{Extended: c.Extend}
}

func (echoService) ServeRefusalTotals() []daisygap.RefusalTotal {
	return []daisygap.RefusalTotal{{Count: 3}}
}

func (echoService) ServeMembers() daisygap.MemberList {
	return daisygap.MemberList{LeaseholderAddress: "h"}
}

func (echoService) ServeIdempotency(c daisygap.IdempotencyRequest) daisygap.IdempotencyReply {
	return daisygap.IdempotencyReply{Verdict: c.Key}
}

func TestClientServerRoundTrip(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Service: echoService{}}
	done := make(chan struct{})
	go func() {
		s.Run(l)
		close(done)
	}()
	c := &Client{}
	ctx := context.Background()
	address := l.Addr().String()
	reply, err := c.Heartbeat(ctx, address, daisygap.Heartbeat{Name: "a"})
	if diff := cmp.Diff(daisygap.HeartbeatReply{LeaseDuration: 5, LeaseholderAddress: "a"}, reply); err != nil || diff != "" {
		t.Errorf("Heartbeat: error %v (-want +got):\n%s", err, diff)
	}
	part, err := c.SnapshotPart(ctx, address, 7, 2)
	if diff := cmp.Diff(daisygap.SnapshotPart{Version: 7, Count: 2}, part); err != nil || diff != "" {
		t.Errorf("SnapshotPart: error %v (-want +got):\n%s", err, diff)
	}
	loan, err := c.Loan(ctx, address, daisygap.LoanRequest{Extend: []uint64{4}})
	if diff := cmp.Diff(daisygap.LoanReply{Extended: []uint64{4}}, loan); err != nil || diff != "" {
		t.Errorf("Loan: error %v (-want +got):\n%s", err, diff)
	}
	if err := c.Push(ctx, address, daisygap.Push{}); err != nil {
		t.Error(err)
	}
	_ = l.Close()
	s.Close()
	if _, err := c.Heartbeat(ctx, address, daisygap.Heartbeat{}); err == nil {
		t.Error("no error from a closed server")
	} else if !strings.Contains(err.Error(), "peer beat ("+address+")") {
		t.Errorf("error without the method or the address: %v", err)
	}
	c.Close()
	<-done
}

// TestOversizedMessageRejectedBeforeRead guards against a peer that makes a daemon allocate memory for an announced length.
func TestOversizedMessageRejectedBeforeRead(t *testing.T) {
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], MaxMessage+1)
	var r jsonrpc2.Request
	if err := (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(head[:])), &r); err == nil || !strings.Contains(err.Error(), "exceeds the limit") {
		t.Errorf("oversized frame: got error %v, want one for the limit", err)
	}
}

func FuzzReadObject(f *testing.F) {
	var good bytes.Buffer
	_ = codec{}.WriteObject(&good, map[string]any{"jsonrpc": "2.0", "method": "beat", "params": map[string]any{"n": "a"}})
	f.Add(good.Bytes())
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255})
	s := &Server{Service: echoService{}}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r jsonrpc2.Request
		if (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &r) == nil {
			_, _ = s.handle(context.Background(), nil, &r)
		}
	})
}

func TestLargeMessagesAreCompressed(t *testing.T) {
	sent := map[string]string{"text": strings.Repeat("frankfurt-1 ", 1_000)}
	var wire bytes.Buffer
	if err := (codec{}).WriteObject(&wire, sent); err != nil {
		t.Fatal(err)
	}
	if wire.Len() > 1_000 {
		t.Errorf("12 kB of repeated text compressed to %d bytes, want at most 1000", wire.Len())
	}
	var got map[string]string
	if err := (codec{}).ReadObject(bufio.NewReader(&wire), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, got); diff != "" {
		t.Error(diff)
	}
}

// TestDecompressedSizeIsLimited guards against a small compressed frame that expands to more than MaxMessage.
func TestDecompressedSizeIsLimited(t *testing.T) {
	bomb, err := compress(append([]byte(`"`), bytes.Repeat([]byte("a"), 2*MaxMessage)...))
	if err != nil {
		t.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(bomb))|compressedFlag)
	var got string
	err = (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(append(frame, bomb...))), &got)
	if err == nil || !strings.Contains(err.Error(), "exceeds the limit") {
		t.Errorf("decompressed message of twice the limit: got error %v, want one for the limit", err)
	}
}
