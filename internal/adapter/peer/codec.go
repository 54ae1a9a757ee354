package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygap/daisygap/internal/adapter/listen"
)

// MaxMessage is the largest size of a message in bytes, before compression and after decompression.
const MaxMessage = 4 << 20

var (
	bytesRead    = metrics.NewCounter(`daisygap_peer_bytes_total{direction="in"}`)
	bytesWritten = metrics.NewCounter(`daisygap_peer_bytes_total{direction="out"}`)
)

const (
	// compressMinBytes is the size from which a message is compressed.
	compressMinBytes = 512
	// compressedFlag is set in the length of a frame with a compressed message.
	compressedFlag = 1 << 31
)

// codec precedes each JSON object with its length as a 32-bit big-endian number, so that an oversized object is rejected
// before it is read.
type codec struct {
	// conn is the guarded connection that messages are read from, or nil.
	conn *listen.Conn
}

const (
	// unreservedFrame is the size in bytes up to which a message is read without a reservation of memory.
	unreservedFrame = 16 << 10
	// unreservedData is the same for the decompressed data.
	unreservedData = 64 << 10
	// frameTimeout bounds the time in which the rest of a message must arrive. The largest one takes 3.4 s at 10 Mbit/s.
	frameTimeout = 10 * time.Second
)

var errNoMemory = errors.New("no memory for the message")

// WriteObject writes one frame.
func (codec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessage {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", len(data), MaxMessage)
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
func (c codec) ReadObject(stream *bufio.Reader, into any) error {
	var head [4]byte
	if _, err := io.ReadFull(stream, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	if size > MaxMessage {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", size, MaxMessage)
	}
	if size > unreservedFrame {
		// The buffer may grow to twice the size.
		if !c.conn.Reserve(2 * int64(size)) {
			return errNoMemory
		}
		defer c.conn.Release(2 * int64(size))
	}
	frame := buffers.Get().(*bytes.Buffer)
	defer putBuffer(frame)
	c.conn.BoundRead(frameTimeout)
	defer c.conn.EndRead()
	if n, err := io.CopyN(frame, stream, int64(size)); err != nil {
		if n > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	c.conn.EndMessage()
	if !compressed {
		return json.Unmarshal(frame.Bytes(), into)
	}
	data := buffers.Get().(*bytes.Buffer)
	defer putBuffer(data)
	reserved := int64(0)
	defer func() { c.conn.Release(reserved) }()
	reserve := func(n int64) bool {
		if !c.conn.Reserve(n) {
			return false
		}
		reserved += n
		return true
	}
	if err := decompress(data, frame.Bytes(), reserve); err != nil {
		return err
	}
	return json.Unmarshal(data.Bytes(), into)
}

// maxPooledBuffer is the size in bytes up to which a buffer is reused.
const maxPooledBuffer = 64 << 10

// buffers holds buffers for messages, which json.Unmarshal doesn't refer to after it returns.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		b.Reset()
		buffers.Put(b)
	}
}

// compressors are reused, because each allocates several hundred kilobytes.
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

// decompressors are reused, because each allocates 40 KB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// decompress appends the decompressed data to out. It returns an error once the output exceeds MaxMessage, so that a small frame can't
// exhaust the memory. Beyond unreservedData bytes it reserves twice the
// size of what it decompresses, since the buffer may grow to that.
func decompress(out *bytes.Buffer, data []byte, reserve func(n int64) bool) error {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return err
	}
	for total, step := int64(0), int64(unreservedData); ; {
		n, err := out.ReadFrom(io.LimitReader(r, step))
		if total += n; err != nil || n < step {
			return err
		}
		if total > MaxMessage {
			return fmt.Errorf("decompressed message exceeds the limit of %d bytes", MaxMessage)
		}
		step = min(total, MaxMessage+1-total)
		if !reserve(2 * step) {
			return errNoMemory
		}
	}
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesRead.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesWritten.Add(n)
	return n, err
}
