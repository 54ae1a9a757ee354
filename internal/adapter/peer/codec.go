package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// MaxMessage is the largest message in bytes that a daemon reads.
const MaxMessage = 4 << 20

var (
	bytesRead    = metrics.NewCounter(`daisygap_peer_bytes_total{direction="in"}`)
	bytesWritten = metrics.NewCounter(`daisygap_peer_bytes_total{direction="out"}`)
)

// codec frames each JSON object with its length, so that an oversized one is refused before it is read.
type codec struct{}

// WriteObject writes one frame.
func (codec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessage {
		return fmt.Errorf("message of %d bytes is over the limit of %d", len(data), MaxMessage)
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject reads one frame.
func (codec) ReadObject(stream *bufio.Reader, into any) error {
	var head [4]byte
	if _, err := io.ReadFull(stream, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxMessage {
		return fmt.Errorf("message of %d bytes is over the limit of %d", size, MaxMessage)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
}

// Read counts what arrives.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesRead.Add(n)
	return n, err
}

// Write counts what leaves.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesWritten.Add(n)
	return n, err
}
