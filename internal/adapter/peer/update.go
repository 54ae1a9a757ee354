package peer

import (
	"bytes"
	"encoding/gob"
	"sync"
	"time"

	"github.com/daisygap/daisygap"
)

// mirrorParams are the parameters of a mirror query. Daemons of before know neither Packed nor packed results.
type mirrorParams struct {
	daisygap.MirrorQuery
	// Packed asks for a packed result.
	Packed bool `json:"p,omitempty"`
}

// mirrorResult is an update, or a packed one. Packing keeps the JSON-RPC library from parsing the entries, which it would do several
// times, and compresses the values better than in their JSON form.
type mirrorResult struct {
	daisygap.StoreUpdate
	// Data is the update in gob encoding, compressed.
	Data []byte `json:"z,omitempty"`
}

func (r mirrorResult) unpack() (daisygap.StoreUpdate, error) {
	if r.Data == nil {
		return r.StoreUpdate, nil
	}
	var u daisygap.StoreUpdate
	data := buffers.Get().(*bytes.Buffer)
	defer putBuffer(data)
	if err := decompress(data, r.Data, func(int64) bool { return true }); err != nil {
		return u, err
	}
	return u, gob.NewDecoder(data).Decode(&u)
}

// maxPackedAge is how long a packed update is sent to further daemons. The ages in it are out of date by up to this time.
const maxPackedAge = 200 * time.Millisecond

// updatePacker packs updates. It keeps the last one, because a relay sends each change to all daemons that wait for it, and packs it only
// once.
type updatePacker struct {
	mu sync.Mutex
	// after is the revision that the last update leads on from, and last the update without its entries.
	after daisygap.StoreRevision
	last  daisygap.StoreUpdate
	at    time.Time
	data  []byte
}

func (p *updatePacker) pack(after daisygap.StoreRevision, u daisygap.StoreUpdate) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	same := p.after == after && p.last.Revision == u.Revision && p.last.Full == u.Full && p.last.StoreLost == u.StoreLost
	if same && time.Since(p.at) < maxPackedAge {
		return p.data, nil
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(u); err != nil {
		return nil, err
	}
	data, err := compress(buffer.Bytes())
	if err != nil {
		return nil, err
	}
	p.after, p.last, p.at, p.data = after, u, time.Now(), data
	p.last.Entries = nil
	return data, nil
}
