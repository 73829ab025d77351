package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
)

var errInvalid = errors.New("not valid JSON")

// Canonicalize returns a JSON value with sorted object keys and without white space.
// It rejects objects with duplicate names.
func Canonicalize(raw []byte) ([]byte, error) { return canonicalize(raw, nil) }

// CheckFieldNames rejects JSON whose objects have duplicate names, or names that do
// not match a JSON field of sample's type exactly. The standard decoder accepts
// duplicates and names in another case; which value wins then depends on their order.
func CheckFieldNames(raw []byte, sample any) error {
	_, err := canonicalize(raw, reflect.TypeOf(sample))
	return err
}

// canonicalize returns the canonical form of a JSON value. It checks names against
// the fields of typ, or only for duplicates if typ is nil.
func canonicalize(raw []byte, typ reflect.Type) ([]byte, error) {
	if !json.Valid(raw) {
		return nil, errInvalid
	}
	c := canonicalizer{in: raw, out: make([]byte, 0, len(raw))}
	if err := c.value(typ); err != nil {
		return nil, err
	}
	return c.out, nil
}

// canonicalizer copies a valid JSON value from in, at position pos, to out. The names
// that lead to the current value are in path.
type canonicalizer struct {
	in   []byte
	pos  int
	out  []byte
	path []string
	// scratch is a buffer for sorting the members of one object.
	scratch []byte
}

// member is one member of an object and its range in out.
type member struct {
	name     string
	from, to int
}

// next skips white space and returns the following byte.
func (c *canonicalizer) next() byte {
	for strings.IndexByte(" \t\r\n", c.in[c.pos]) >= 0 {
		c.pos++
	}
	return c.in[c.pos]
}

func (c *canonicalizer) value(typ reflect.Type) error {
	switch c.next() {
	case '{':
		return c.object(typ)
	case '[':
		return c.array(typ)
	case '"':
		_, err := c.stringToken()
		return err
	default:
		c.literal()
		return nil
	}
}

// literal copies a number, true, false or null.
func (c *canonicalizer) literal() {
	start := c.pos
	for c.pos < len(c.in) && strings.IndexByte(",]} \t\r\n", c.in[c.pos]) < 0 {
		c.pos++
	}
	c.out = append(c.out, c.in[start:c.pos]...)
}

// stringToken copies a string and returns the token that it wrote to out.
func (c *canonicalizer) stringToken() ([]byte, error) {
	start, plain := c.pos, true
	for c.pos++; c.in[c.pos] != '"'; c.pos++ {
		switch octet := c.in[c.pos]; {
		case octet == '\\':
			c.pos++
			plain = false
		case octet < ' ' || octet > '~' || octet == '<' || octet == '>' || octet == '&':
			plain = false
		}
	}
	c.pos++
	token, offset := c.in[start:c.pos], len(c.out)
	if plain {
		c.out = append(c.out, token...)
		return c.out[offset:], nil
	}
	var decoded string
	if err := json.Unmarshal(token, &decoded); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(decoded)
	c.out = append(c.out, encoded...)
	return c.out[offset:], err
}

func (c *canonicalizer) array(typ reflect.Type) error {
	element := elementOf(typ)
	c.out = append(c.out, '[')
	c.pos++
	for first := true; c.next() != ']'; first = false {
		if !first {
			c.out = append(c.out, ',')
			c.pos++
		}
		if err := c.value(element); err != nil {
			return err
		}
	}
	c.pos++
	c.out = append(c.out, ']')
	return nil
}

func (c *canonicalizer) object(typ reflect.Type) error {
	allowed := fieldsOf(typ)
	c.out = append(c.out, '{')
	c.pos++
	var members []member
	for first := true; c.next() != '}'; first = false {
		if !first {
			c.out = append(c.out, ',')
			c.pos++
		}
		one, err := c.member(allowed)
		if err != nil {
			return err
		}
		members = append(members, one)
	}
	c.pos++
	if err := c.sortMembers(members); err != nil {
		return err
	}
	c.out = append(c.out, '}')
	return nil
}

func (c *canonicalizer) member(allowed fields) (member, error) {
	from := len(c.out)
	c.next()
	token, err := c.stringToken()
	if err != nil {
		return member{}, err
	}
	name, err := unquote(token)
	if err != nil {
		return member{}, err
	}
	typ, err := c.field(allowed, name)
	if err != nil {
		return member{}, err
	}
	c.next() // the colon
	c.pos++
	c.out = append(c.out, ':')
	c.path = append(c.path, name)
	err = c.value(typ)
	c.path = c.path[:len(c.path)-1]
	return member{name, from, len(c.out)}, err
}

func unquote(token []byte) (string, error) {
	if !slices.Contains(token, '\\') {
		return string(token[1 : len(token)-1]), nil
	}
	var name string
	err := json.Unmarshal(token, &name)
	return name, err
}

// sortMembers sorts the members at the end of out by name and rejects duplicates.
func (c *canonicalizer) sortMembers(members []member) error {
	byName := func(a, b member) int { return strings.Compare(a.name, b.name) }
	sorted := members
	if !slices.IsSortedFunc(members, byName) {
		sorted = slices.SortedStableFunc(slices.Values(members), byName)
	}
	for index := 1; index < len(sorted); index++ {
		if sorted[index].name == sorted[index-1].name {
			return c.newError(sorted[index].name, "is set twice", "keep one of them")
		}
	}
	if len(members) == 0 || slices.Equal(sorted, members) {
		return nil
	}
	start := members[0].from
	c.scratch = append(c.scratch[:0], c.out[start:]...)
	c.out = c.out[:start]
	for index, one := range sorted {
		if index > 0 {
			c.out = append(c.out, ',')
		}
		c.out = append(c.out, c.scratch[one.from-start:one.to-start]...)
	}
	return nil
}

func (c *canonicalizer) newError(name, problem, remedy string) *Error {
	return &Error{Field: strings.Join(append(slices.Clone(c.path), name), "."), Problem: problem, Remedy: remedy}
}

// fields holds the names that an object may have and their types. If strict is false,
// any name is permitted and its value has the type any.
type fields struct {
	strict bool
	named  map[string]reflect.Type
	any    reflect.Type
}

func (c *canonicalizer) field(allowed fields, name string) (reflect.Type, error) {
	if !allowed.strict {
		return allowed.any, nil
	}
	if typ, ok := allowed.named[name]; ok {
		return typ, nil
	}
	for known := range allowed.named {
		if strings.EqualFold(known, name) {
			return nil, c.newError(name, "unknown field", fmt.Sprintf("write it %q", known))
		}
	}
	return nil, c.newError(name, "unknown field", "remove it or correct its name; see the JSON Schema")
}

// fieldCache maps each struct type seen so far to its fields.
var fieldCache sync.Map

func fieldsOf(typ reflect.Type) fields {
	typ = indirect(typ)
	switch {
	case typ == nil:
		return fields{}
	case typ.Kind() == reflect.Map:
		return fields{any: typ.Elem()}
	case typ.Kind() != reflect.Struct:
		return fields{}
	}
	if known, ok := fieldCache.Load(typ); ok {
		return known.(fields)
	}
	found := fields{strict: true, named: map[string]reflect.Type{}}
	for index := range typ.NumField() {
		field := typ.Field(index)
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			found.named[name] = field.Type
		}
	}
	fieldCache.Store(typ, found)
	return found
}

func elementOf(typ reflect.Type) reflect.Type {
	typ = indirect(typ)
	if typ == nil || typ.Kind() != reflect.Slice {
		return nil
	}
	return typ.Elem()
}

func indirect(typ reflect.Type) reflect.Type {
	if typ != nil && typ.Kind() == reflect.Pointer {
		return typ.Elem()
	}
	return typ
}
