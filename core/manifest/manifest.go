// Package manifest defines the manifest of a configuration on the platform: the list
// of its parts with their hashes. Parts are immutable and addressed by their hash, so
// a configuration assembled from a manifest never mixes two publications.
//
// # Usage
//
//	m, err := manifest.Decode(data)
//	for _, part := range m.Parts {
//		fetch(part.Key())
//	}
package manifest

import (
	"encoding/json"
	"fmt"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
)

// Key is the store key of the manifest. PartPrefix and HostPrefix start the keys of
// the parts and the host entries.
const (
	Key        = "marjoramsaddle/manifest"
	PartPrefix = "marjoramsaddle/parts/"
	HostPrefix = "marjoramsaddle/hosts/"
)

// Format is the only manifest format that this build accepts. The validation rules of
// a format never change, so that different builds agree on which manifests are valid.
const Format = 1

// MaxPartBytes is the platform's size limit for one value.
const MaxPartBytes = 1 << 20

// maxParts limits a configuration to 64 MiB.
const maxParts = 64

// Part identifies one immutable piece of a configuration by hash and size.
type Part struct {
	SHA256 id.Digest `json:"sha256"`
	Bytes  int       `json:"bytes"`
}

// Key returns the part's key on the platform.
func (p Part) Key() string { return PartPrefix + p.SHA256.String() }

// Manifest lists the parts of one configuration.
type Manifest struct {
	Format  int    `json:"format"`
	Parts   []Part `json:"parts"`
	Author  string `json:"author,omitempty"`
	Comment string `json:"comment,omitempty"`
}

// Decode parses a manifest and checks its format, field names and part sizes.
func Decode(data []byte) (*Manifest, error) {
	var m Manifest
	if err := document.CheckFieldNames(data, m); err != nil {
		return nil, fmt.Errorf("manifest: %w: build it with marjoramsaddle build", err)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("manifest: %w: build it with marjoramsaddle build", err)
	}
	if m.Format != Format {
		return nil, fmt.Errorf("manifest: format %d is unknown: use format %d or upgrade the daemon", m.Format, Format)
	}
	if len(m.Parts) == 0 || len(m.Parts) > maxParts {
		return nil, fmt.Errorf("manifest: %d parts: use 1 to %d", len(m.Parts), maxParts)
	}
	for _, part := range m.Parts {
		if part.Bytes <= 0 || part.Bytes > MaxPartBytes {
			return nil, fmt.Errorf("manifest: part %s has %d bytes: use 1 to %d", part.SHA256.Short(), part.Bytes, MaxPartBytes)
		}
	}
	return &m, nil
}

// Assemble decodes the parts into one set of documents and validates it. The map
// holds the data of each part by its hash.
func (m *Manifest) Assemble(parts map[id.Digest][]byte) (*document.Set, error) {
	set, err := m.AssembleUnvalidated(parts)
	if err != nil {
		return nil, err
	}
	if err := set.Validate(); err != nil {
		return nil, err
	}
	return set, nil
}

// AssembleUnvalidated decodes the parts as Assemble does, but does not validate the
// resulting set.
func (m *Manifest) AssembleUnvalidated(parts map[id.Digest][]byte) (*document.Set, error) {
	set := document.NewSet()
	for _, part := range m.Parts {
		data, ok := parts[part.SHA256]
		if !ok {
			return nil, fmt.Errorf("part %s is missing: publish it before the manifest", part.SHA256.Short())
		}
		if id.DigestOf(data) != part.SHA256 {
			return nil, fmt.Errorf("content of part %s does not match its hash: publish it again", part.SHA256.Short())
		}
		if err := set.Add("part "+part.SHA256.Short(), data); err != nil {
			return nil, err
		}
	}
	return set, nil
}
