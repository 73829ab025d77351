// Package label implements label sets and selectors. Selectors follow the
// equality-based and set-based forms of Kubernetes.
//
// # Usage
//
//	selector := label.Selector{MatchLabels: label.Set{"tier": "counter"}}
//	selector.Matches(label.Set{"tier": "counter", "zone": "reduit"}) // true
package label

import (
	"fmt"
	"slices"
)

// Set maps label keys to values.
type Set map[string]string

// The values of Requirement.Operator.
const (
	In           = "in"
	NotIn        = "not_in"
	Exists       = "exists"
	DoesNotExist = "does_not_exist"
)

// maxNameBytes is Kubernetes' limit for a label name without a prefix. It applies to
// keys and values.
const maxNameBytes = 63

// Requirement is a set-based condition on one label.
type Requirement struct {
	Key      string   `json:"key"`
	Operator string   `json:"operator"`
	Values   []string `json:"values,omitempty"`
}

// Selector matches the label sets that meet all of its conditions. The zero value
// matches every set.
type Selector struct {
	MatchLabels      Set           `json:"match_labels,omitempty"`
	MatchExpressions []Requirement `json:"match_expressions,omitempty"`
}

// Matches reports whether labels meets every condition of the selector.
func (s Selector) Matches(labels Set) bool {
	for key, want := range s.MatchLabels {
		got, ok := labels[key]
		if !ok || got != want {
			return false
		}
	}
	for _, requirement := range s.MatchExpressions {
		if !requirement.matches(labels) {
			return false
		}
	}
	return true
}

func (r Requirement) matches(labels Set) bool {
	value, ok := labels[r.Key]
	switch r.Operator {
	case In:
		return ok && slices.Contains(r.Values, value)
	case NotIn:
		return !ok || !slices.Contains(r.Values, value)
	case Exists:
		return ok
	case DoesNotExist:
		return !ok
	default:
		return false
	}
}

// Validate returns an error that describes the first invalid condition and how to fix
// it, or nil.
func (s Selector) Validate() error {
	if err := s.MatchLabels.Validate(); err != nil {
		return err
	}
	for _, requirement := range s.MatchExpressions {
		if err := requirement.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r Requirement) validate() error {
	if err := validateKey(r.Key); err != nil {
		return err
	}
	switch r.Operator {
	case In, NotIn:
		if len(r.Values) == 0 {
			return fmt.Errorf("operator %q on key %q needs at least one value: add values", r.Operator, r.Key)
		}
	case Exists, DoesNotExist:
		if len(r.Values) > 0 {
			return fmt.Errorf("operator %q on key %q takes no values: remove values", r.Operator, r.Key)
		}
	default:
		return fmt.Errorf("unknown operator %q on key %q: use in, not_in, exists or does_not_exist", r.Operator, r.Key)
	}
	return nil
}

// Validate returns an error that describes the first invalid key or value in key order
// and how to fix it, or nil.
func (s Set) Validate() error {
	for _, key := range s.keys() {
		if err := validateKey(key); err != nil {
			return err
		}
		if len(s[key]) > maxNameBytes {
			return fmt.Errorf("value of label %q is over %d bytes: shorten it", key, maxNameBytes)
		}
	}
	return nil
}

func (s Set) keys() []string {
	keys := make([]string, 0, len(s))
	for key := range s {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func validateKey(key string) error {
	if key == "" || len(key) > maxNameBytes {
		return fmt.Errorf("label key %q must have 1 to %d bytes: rename it", key, maxNameBytes)
	}
	for _, char := range key {
		if !isKeyChar(char) {
			return fmt.Errorf("label key %q holds %q: use letters, digits, and . _ - /", key, char)
		}
	}
	return nil
}

func isKeyChar(char rune) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return char == '.' || char == '_' || char == '-' || char == '/'
}
