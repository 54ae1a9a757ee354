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

// MaxPatchBytes is the largest accepted patch in bytes, so that a version fits one value of the store.
const MaxPatchBytes = 900_000

// Snapshot is one version of the configuration; it is never changed after it is made.
type Snapshot struct {
	Version uint64
	Config  *daisygap.Configuration
	// Document is the configuration as JSON, without the client blocks.
	Document []byte
	// Blocks maps client blocks to an index in Sites.
	Blocks *bart.Table[uint32]
	Sites  []string

	siteIndex map[string]uint32
}

// Empty returns version 0, which allows nothing.
func Empty() *Snapshot {
	return &Snapshot{
		Config:    &daisygap.Configuration{},
		Document:  []byte("{}"),
		Blocks:    new(bart.Table[uint32]),
		siteIndex: map[string]uint32{},
	}
}

// Parse checks a whole configuration document and returns it as a version.
func Parse(file string, data []byte, version uint64) (*Snapshot, error) {
	next, err := Empty().Apply(daisygap.Patch{Version: 1, Merge: data})
	if err != nil {
		return nil, inFile(file, data, err)
	}
	next.Version = version
	next.Config.Version = version
	return next, nil
}

// Apply returns the next version, made by a merge patch (RFC 7396); the receiver stays as it is.
func (s *Snapshot) Apply(p daisygap.Patch) (*Snapshot, error) {
	if p.Version != s.Version+1 {
		return nil, fmt.Errorf("patch for version %d doesn't follow version %d", p.Version, s.Version)
	}
	if len(p.Merge) > MaxPatchBytes && s.Version > 0 {
		return nil, &daisygap.FieldError{
			Field: "patch",
			Want:  fmt.Sprintf("at most %d bytes; split it", MaxPatchBytes),
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

// merge applies everything but the client blocks and checks the outcome.
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
	if err := checkMoves(s.Config, config); err != nil {
		return err
	}
	sitesBefore := s.Config.Sites
	s.Document, s.Config = document, config
	s.indexSites()
	return s.checkRemovedSites(sitesBefore)
}

// indexSites keeps the index of every known site and appends new ones, so that the block table stays valid.
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

// checkRemovedSites refuses to remove a site that blocks still belong to.
func (s *Snapshot) checkRemovedSites(before map[string]daisygap.Site) error {
	gone := make(map[uint32]string)
	for name := range before {
		if _, ok := s.Config.Sites[name]; !ok {
			gone[s.siteIndex[name]] = name
		}
	}
	if len(gone) == 0 {
		return nil
	}
	for prefix, site := range s.Blocks.All() {
		if name, ok := gone[site]; ok {
			return &daisygap.FieldError{
				Field: "sites." + name,
				Want:  "no client block left before the site is removed",
				Got:   prefix.String(),
			}
		}
	}
	return nil
}

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
			return &daisygap.FieldError{Field: "blocks." + text, Want: "an address prefix with no host bits"}
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

// SiteOf returns the site of the smallest block that holds an address.
func (s *Snapshot) SiteOf(address netip.Addr) (string, bool) {
	index, ok := s.Blocks.Lookup(address)
	if !ok {
		return "", false
	}
	return s.Sites[index], true
}

// EqualExceptBlocks tells whether two versions differ in nothing but their client blocks.
func (s *Snapshot) EqualExceptBlocks(other *Snapshot) bool {
	return bytes.Equal(s.Document, other.Document)
}

// splitBlocks separates the client blocks of a merge patch from the rest.
func splitBlocks(merge json.RawMessage) (map[string]*string, map[string]json.RawMessage, error) {
	var rest map[string]json.RawMessage
	err := json.Unmarshal(merge, &rest)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return nil, nil, fieldError(err)
	}
	if err != nil || rest == nil {
		return nil, nil, &daisygap.FieldError{Field: "patch", Want: "a JSON object (RFC 7396)", Got: found(err)}
	}
	var blocks map[string]*string
	if raw, ok := rest["blocks"]; ok {
		delete(rest, "blocks")
		if err := json.Unmarshal(raw, &blocks); err != nil {
			return nil, nil, &daisygap.FieldError{Field: "blocks", Want: "prefixes with site names, or null to remove", Got: found(err)}
		}
		if blocks == nil {
			return nil, nil, &daisygap.FieldError{Field: "blocks", Want: "an object; remove blocks one by one", Got: "null"}
		}
	}
	return blocks, rest, nil
}

func found(err error) string {
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
