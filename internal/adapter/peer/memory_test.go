package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"testing"

	"github.com/daisygap/daisygap/internal/adapter/listen"
)

// TestDecompressionIsReserved guards against small frames that take megabytes when they are decompressed.
func TestDecompressionIsReserved(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	guard := &listen.Guard{Name: "peer", Connections: 4}
	guard.Memory.Limit = 64 << 10
	client, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := guard.Listen(raw).Accept()
	if err != nil {
		t.Fatal(err)
	}
	data, err := compress([]byte(`"` + strings.Repeat("x", MaxMessage-2) + `"`))
	if err != nil {
		t.Fatal(err)
	}
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(data))|compressedFlag), data...)
	var into string
	if err := (codec{conn: listen.ConnOf(conn)}).ReadObject(bufio.NewReader(bytes.NewReader(frame)), &into); err == nil {
		t.Errorf("a frame of %d bytes was read as %d bytes within a budget of %d", len(frame), len(into), guard.Memory.Limit)
	}
	if used := guard.Memory.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}
