package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/gaissmai/bart"

	"github.com/daisygap/daisygap"
)

// MaxPatchBytes is the largest size of a patch, which has to fit into one value of the store.
const MaxPatchBytes = 900_000

// Snapshot is one version of the configuration. It is immutable.
type Snapshot struct {
	Version uint64
	Config  *daisygap.Configuration
	// Document is the configuration as JSON without the client blocks.
	Document []byte
	// Blocks maps client blocks to indexes in Sites.
	Blocks *bart.Table[uint32]
	Sites  []string

	siteIndex map[string]uint32
}

// Empty returns version 0, which has no kinds and no upstreams.
func Empty() *Snapshot {
	return &Snapshot{
		Config:    &daisygap.Configuration{},
		Document:  []byte("{}"),
		Blocks:    new(bart.Table[uint32]),
		siteIndex: map[string]uint32{},
	}
}

// Parse decodes and validates a complete configuration document and returns it as a version. The file is named in errors.
func Parse(file string, data []byte, version uint64) (*Snapshot, error) {
	next, err := Empty().Apply(daisygap.Patch{Version: 1, Merge: data})
	if err != nil {
		return nil, locate(file, data, err)
	}
	next.Version = version
	next.Config.Version = version
	return next, nil
}

// Apply returns the version that a merge patch (RFC 7396) makes of the receiver, which does not change.
func (s *Snapshot) Apply(p daisygap.Patch) (*Snapshot, error) {
	if p.Version != s.Version+1 {
		return nil, fmt.Errorf("patch for version %d does not follow version %d", p.Version, s.Version)
	}
	if len(p.Merge) > MaxPatchBytes && s.Version > 0 {
		return nil, &daisygap.FieldError{
			Field: "patch",
			Want:  fmt.Sprintf("at most %d bytes; split the patch", MaxPatchBytes),
			Got:   fmt.Sprintf("%d bytes", len(p.Merge)),
		}
	}
	blocks, rest, err := splitBlocks(p.Merge)
	if err != nil {
		return nil, err
	}
	next := *s
	next.Version = p.Version
	if len(rest) > 0 {
		if err := next.merge(rest); err != nil {
			return nil, err
		}
	} else {
		config := *s.Config
		next.Config = &config
	}
	if err := next.applyBlocks(blocks); err != nil {
		return nil, err
	}
	next.Config.Version = p.Version
	return &next, nil
}

// merge applies a patch without client blocks and validates the result.
func (s *Snapshot) merge(rest map[string]json.RawMessage) error {
	patch, err := json.Marshal(rest)
	if err != nil {
		return err
	}
	document, err := jsonpatch.MergePatch(s.Document, patch)
	if err != nil {
		return &daisygap.FieldError{Field: "patch", Want: "a JSON object (RFC 7396)", Got: err.Error()}
	}
	config, err := decode(document)
	if err != nil {
		return err
	}
	if err := Check(config); err != nil {
		return err
	}
	if err := checkDomainChanges(s.Config, config); err != nil {
		return err
	}
	oldSites := s.Config.Sites
	s.Document, s.Config = document, config
	s.indexSites()
	return s.checkRemovedSites(oldSites)
}

// indexSites appends new sites to the index. The index of a site never changes, so that the block table stays valid.
func (s *Snapshot) indexSites() {
	var added []string
	for name := range s.Config.Sites {
		if _, ok := s.siteIndex[name]; !ok {
			added = append(added, name)
		}
	}
	if len(added) == 0 {
		return
	}
	sort.Strings(added)
	index := make(map[string]uint32, len(s.siteIndex)+len(added))
	for name, i := range s.siteIndex {
		index[name] = i
	}
	sites := append([]string(nil), s.Sites...)
	for _, name := range added {
		index[name] = uint32(len(sites))
		sites = append(sites, name)
	}
	s.siteIndex, s.Sites = index, sites
}

// checkRemovedSites rejects the removal of a site to which client blocks still belong.
func (s *Snapshot) checkRemovedSites(oldSites map[string]daisygap.Site) error {
	removed := make(map[uint32]string)
	for name := range oldSites {
		if _, ok := s.Config.Sites[name]; !ok {
			removed[s.siteIndex[name]] = name
		}
	}
	if len(removed) == 0 {
		return nil
	}
	for prefix, site := range s.Blocks.All() {
		if name, ok := removed[site]; ok {
			return &daisygap.FieldError{
				Field: "sites." + name,
				Want:  "no client block left before the site is removed",
				Got:   prefix.String(),
			}
		}
	}
	return nil
}

// applyBlocks applies changes of the client blocks; a nil site removes a block. A large patch is applied to a full copy
// of the table, because copying the changed nodes for each block would cost more.
func (s *Snapshot) applyBlocks(blocks map[string]*string) error {
	if len(blocks) == 0 {
		return nil
	}
	table := s.Blocks
	bulk := len(blocks) > table.Size()/8
	if bulk {
		table = table.Clone()
	}
	for text, site := range blocks {
		prefix, err := netip.ParsePrefix(text)
		if err != nil || prefix != prefix.Masked() {
			return &daisygap.FieldError{Field: "blocks." + text, Want: "an address prefix without host bits"}
		}
		if site == nil {
			if bulk {
				table.Delete(prefix)
			} else {
				table = table.DeletePersist(prefix)
			}
			continue
		}
		index, ok := s.siteIndex[*site]
		if _, listed := s.Config.Sites[*site]; !ok || !listed {
			return &daisygap.FieldError{Field: "blocks." + text, Want: "the name of a site", Got: *site}
		}
		if bulk {
			table.Insert(prefix, index)
		} else {
			table = table.InsertPersist(prefix, index)
		}
	}
	s.Blocks = table
	return nil
}

// SiteOf returns the site of the smallest block that contains an address, and whether there is one.
func (s *Snapshot) SiteOf(address netip.Addr) (string, bool) {
	index, ok := s.Blocks.Lookup(address)
	if !ok {
		return "", false
	}
	return s.Sites[index], true
}

// EqualExceptBlocks reports whether two versions are equal apart from their client blocks.
func (s *Snapshot) EqualExceptBlocks(other *Snapshot) bool {
	return bytes.Equal(s.Document, other.Document)
}

// splitBlocks separates the client blocks of a merge patch from its other fields.
func splitBlocks(merge json.RawMessage) (map[string]*string, map[string]json.RawMessage, error) {
	var rest map[string]json.RawMessage
	err := json.Unmarshal(merge, &rest)
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return nil, nil, fieldError(err)
	}
	if err != nil || rest == nil {
		return nil, nil, &daisygap.FieldError{Field: "patch", Want: "a JSON object (RFC 7396)", Got: foundText(err)}
	}
	var blocks map[string]*string
	if raw, ok := rest["blocks"]; ok {
		delete(rest, "blocks")
		if err := json.Unmarshal(raw, &blocks); err != nil {
			return nil, nil, &daisygap.FieldError{Field: "blocks", Want: "address prefixes with site names, or null to remove a block", Got: foundText(err)}
		}
		if blocks == nil {
			return nil, nil, &daisygap.FieldError{Field: "blocks", Want: "an object; remove the blocks individually", Got: "null"}
		}
	}
	return blocks, rest, nil
}

func foundText(err error) string {
	if err == nil {
		return "null"
	}
	return err.Error()
}

func decode(document []byte) (*daisygap.Configuration, error) {
	var config daisygap.Configuration
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	if err := d.Decode(&config); err != nil {
		return nil, fieldError(err)
	}
	return &config, nil
}
