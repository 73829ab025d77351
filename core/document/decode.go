package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"marjoramsaddle/core/id"
)

// Error describes an invalid document and how to correct it.
type Error struct {
	File     string
	Document Key
	Field    string
	Problem  string
	Remedy   string
}

// Error returns the location, the problem and the remedy.
func (e *Error) Error() string {
	text := ""
	if e.File != "" {
		text = e.File + ": "
	}
	if e.Document.Kind != "" {
		text += e.Document.String() + ": "
	}
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Problem + ": " + e.Remedy
}

// Set holds all documents of one configuration version.
type Set struct {
	Services       map[id.Service]Service
	Proxies        map[id.Host]Proxy
	Configurations map[string]Configuration
	// Canonical holds each document as JSON with sorted keys. It is derived from the
	// raw bytes rather than the structs above, so that different builds of the daemon
	// agree on it.
	Canonical map[Key][]byte

	files map[Key]string
	// sorted holds the keys in order, except those in added, which Keys merges in.
	sorted, added []Key
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		Services:       map[id.Service]Service{},
		Proxies:        map[id.Host]Proxy{},
		Configurations: map[string]Configuration{},
		Canonical:      map[Key][]byte{},
		files:          map[Key]string{},
	}
}

// Keys returns the keys of all documents in order. The caller must not modify the
// slice. The first call after an addition sorts and must not run concurrently with
// other uses; later calls may.
func (s *Set) Keys() []Key {
	if len(s.added) == 0 {
		return s.sorted
	}
	slices.SortFunc(s.added, compareKeys)
	s.sorted = mergeSorted(s.sorted, s.added)
	s.added = nil
	return s.sorted
}

// mergeSorted merges two sorted lists without common keys.
func mergeSorted(a, b []Key) []Key {
	out := make([]Key, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Less(b[0]) {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	out = append(out, a...)
	return append(out, b...)
}

func compareKeys(a, b Key) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	default:
		return 0
	}
}

// Add decodes a JSON array of documents into the set. Errors name the given file.
func (s *Set) Add(file string, data []byte) error {
	var raws []json.RawMessage
	if err := json.Unmarshal(data, &raws); err != nil {
		return &Error{File: file, Problem: err.Error(), Remedy: "write a JSON array of documents"}
	}
	for index, raw := range raws {
		if err := s.AddDocument(file, raw); err != nil {
			var invalid *Error
			if errors.As(err, &invalid) && invalid.Document.Kind == "" {
				invalid.Field = fmt.Sprintf("document %d", index)
			}
			return err
		}
	}
	return nil
}

// AddDocument decodes one document into the set. It returns an error if the set already
// has a document of the same kind and name.
func (s *Set) AddDocument(file string, raw []byte) error {
	var key Key
	if err := json.Unmarshal(raw, &key); err != nil {
		return &Error{File: file, Problem: err.Error(), Remedy: "write a JSON object with kind and name"}
	}
	if key.Name == "" {
		return &Error{File: file, Document: key, Field: "name", Problem: "missing", Remedy: "name the document"}
	}
	if first, exists := s.files[key]; exists {
		return &Error{File: file, Document: key, Problem: "defined twice, first in " + first, Remedy: "remove one of them"}
	}
	canonical, err := s.decodeKind(key, raw)
	if err != nil {
		var invalid *Error
		if errors.As(err, &invalid) {
			invalid.File, invalid.Document = file, key
			return invalid
		}
		return &Error{File: file, Document: key, Problem: err.Error(), Remedy: "correct the field; see the JSON Schema"}
	}
	s.Canonical[key] = canonical
	s.files[key] = file
	s.added = append(s.added, key)
	return nil
}

// decodeKind decodes the document and returns its canonical form.
func (s *Set) decodeKind(key Key, raw []byte) ([]byte, error) {
	switch key.Kind {
	case KindService:
		return decodeInto(raw, s.Services, id.Service(key.Name))
	case KindProxy:
		return decodeInto(raw, s.Proxies, id.Host(key.Name))
	case KindConfiguration:
		return decodeInto(raw, s.Configurations, key.Name)
	default:
		return nil, &Error{
			Field: "kind", Problem: fmt.Sprintf("unknown kind %q", key.Kind),
			Remedy: "use service, proxy or configuration",
		}
	}
}

// decodeInto decodes raw into target and returns its canonical form. It first checks
// the field names, because encoding/json matches them without regard to case.
func decodeInto[K comparable, V any](raw []byte, target map[K]V, name K) ([]byte, error) {
	var value V
	canonical, err := canonicalize(raw, reflect.TypeFor[V]())
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return nil, err
	}
	target[name] = value
	return canonical, nil
}

// Without returns a copy of the set without the given documents. The copy shares the
// remaining documents, which are never modified.
func (s *Set) Without(excluded map[Key]bool) *Set {
	result := &Set{
		Services:       maps.Clone(s.Services),
		Proxies:        maps.Clone(s.Proxies),
		Configurations: maps.Clone(s.Configurations),
		Canonical:      maps.Clone(s.Canonical),
		files:          maps.Clone(s.files),
		sorted:         slices.DeleteFunc(slices.Clone(s.Keys()), func(key Key) bool { return excluded[key] }),
	}
	for key := range excluded {
		result.remove(key)
	}
	return result
}

func (s *Set) remove(key Key) {
	delete(s.Canonical, key)
	delete(s.files, key)
	switch key.Kind {
	case KindService:
		delete(s.Services, id.Service(key.Name))
	case KindProxy:
		delete(s.Proxies, id.Host(key.Name))
	case KindConfiguration:
		delete(s.Configurations, key.Name)
	}
}
