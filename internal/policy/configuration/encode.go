package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"

	"github.com/daisygap/daisygap"
)

// maxPartBytes is the size above which a part of a snapshot is complete. It keeps parts well below the largest value that
// the store accepts.
const maxPartBytes = 700_000

// SnapshotInterval is the number of versions between two snapshots in the store.
const SnapshotInterval = 256

// Encode encodes a version as parts. The first part is the document, and the others hold the client blocks, one per line.
func Encode(s *Snapshot) [][]byte {
	parts := [][]byte{s.Document}
	var b bytes.Buffer
	for prefix, site := range s.Blocks.AllSorted() {
		fmt.Fprintf(&b, "%s %s\n", prefix, s.Sites[site])
		if b.Len() > maxPartBytes {
			parts = append(parts, bytes.Clone(b.Bytes()))
			b.Reset()
		}
	}
	if b.Len() > 0 {
		parts = append(parts, bytes.Clone(b.Bytes()))
	}
	return parts
}

// Decode decodes the parts of a snapshot, and validates them like a patch.
func Decode(version uint64, parts [][]byte) (*Snapshot, error) {
	if len(parts) == 0 {
		return nil, fmt.Errorf("snapshot %d has no parts", version)
	}
	s := Empty()
	var document map[string]json.RawMessage
	if err := json.Unmarshal(parts[0], &document); err != nil {
		return nil, fmt.Errorf("snapshot %d: %w", version, err)
	}
	if err := s.merge(document); err != nil {
		return nil, err
	}
	s.Blocks = new(bart.Table[uint32])
	for _, part := range parts[1:] {
		if err := s.decodeBlocks(part); err != nil {
			return nil, err
		}
	}
	s.Version = version
	s.Config.Version = version
	return s, nil
}

func (s *Snapshot) decodeBlocks(part []byte) error {
	for line := range strings.Lines(string(part)) {
		text, site, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		prefix, err := netip.ParsePrefix(text)
		index, ok := s.siteIndex[site]
		if err != nil || !ok {
			return &daisygap.FieldError{Field: "blocks", Want: "an address prefix and the name of a site", Got: line}
		}
		s.Blocks.Insert(prefix, index)
	}
	return nil
}
