package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// MaxMessage is the largest message in bytes that a daemon reads.
const MaxMessage = 4 << 20

var (
	bytesRead    = metrics.NewCounter(`daisygap_peer_bytes_total{direction="in"}`)
	bytesWritten = metrics.NewCounter(`daisygap_peer_bytes_total{direction="out"}`)
)

const (
	// compressMinBytes is the size from which on a message is compressed.
	compressMinBytes = 512
	// compressedFlag marks the length of a compressed frame.
	compressedFlag = 1 << 31
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
	flag := uint32(0)
	if len(data) >= compressMinBytes {
		if data, err = compress(data); err != nil {
			return err
		}
		flag = compressedFlag
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data))|flag)
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
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	if size > MaxMessage {
		return fmt.Errorf("message of %d bytes is over the limit of %d", size, MaxMessage)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	if compressed {
		var err error
		if data, err = decompress(data); err != nil {
			return err
		}
	}
	return json.Unmarshal(data, into)
}

// compressors are kept, since each holds several hundred kilobytes.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

func compress(data []byte) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// decompress stops at the size that an uncompressed message may have.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, MaxMessage+1))
	if err == nil && len(out) > MaxMessage {
		err = fmt.Errorf("compressed message is over the limit of %d bytes", MaxMessage)
	}
	return out, err
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
}

// Read counts what arrives.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesRead.Add(n)
	return n, err
}

// Write counts what leaves.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesWritten.Add(n)
	return n, err
}
