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

// Canonicalize returns the JSON value with sorted keys and no white space. It
// refuses objects that hold a name twice.
func Canonicalize(raw []byte) ([]byte, error) { return canonicalize(raw, nil) }

// CheckFieldNames refuses JSON whose objects hold a name twice, or a name that is
// not written exactly as a field of the type of like. The standard decoder
// accepts both, and then which value wins depends on their order.
func CheckFieldNames(raw []byte, like any) error {
	_, err := canonicalize(raw, reflect.TypeOf(like))
	return err
}

// canonicalize checks the names against a type, or only for repeats when the
// type is nil.
func canonicalize(raw []byte, like reflect.Type) ([]byte, error) {
	if !json.Valid(raw) {
		return nil, errInvalid
	}
	c := canonicalizer{in: raw, out: make([]byte, 0, len(raw))}
	if err := c.value(like); err != nil {
		return nil, err
	}
	return c.out, nil
}

// canonicalizer copies a valid JSON value from in to out.
type canonicalizer struct {
	in   []byte
	at   int
	out  []byte
	path []string
	// scratch holds the members of one object while they are put in order.
	scratch []byte
}

// member is one member of an object, with its place in out.
type member struct {
	name     string
	from, to int
}

// next skips white space and returns the byte that follows.
func (c *canonicalizer) next() byte {
	for strings.IndexByte(" \t\r\n", c.in[c.at]) >= 0 {
		c.at++
	}
	return c.in[c.at]
}

func (c *canonicalizer) value(like reflect.Type) error {
	switch c.next() {
	case '{':
		return c.object(like)
	case '[':
		return c.array(like)
	case '"':
		_, err := c.text()
		return err
	default:
		c.literal()
		return nil
	}
}

// literal copies a number, true, false or null.
func (c *canonicalizer) literal() {
	start := c.at
	for c.at < len(c.in) && strings.IndexByte(",]} \t\r\n", c.in[c.at]) < 0 {
		c.at++
	}
	c.out = append(c.out, c.in[start:c.at]...)
}

// text copies a string and returns its token as written to out.
func (c *canonicalizer) text() ([]byte, error) {
	start, plain := c.at, true
	for c.at++; c.in[c.at] != '"'; c.at++ {
		switch octet := c.in[c.at]; {
		case octet == '\\':
			c.at++
			plain = false
		case octet < ' ' || octet > '~' || octet == '<' || octet == '>' || octet == '&':
			plain = false
		}
	}
	c.at++
	token, place := c.in[start:c.at], len(c.out)
	if plain {
		c.out = append(c.out, token...)
		return c.out[place:], nil
	}
	var decoded string
	if err := json.Unmarshal(token, &decoded); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(decoded)
	c.out = append(c.out, encoded...)
	return c.out[place:], err
}

func (c *canonicalizer) array(like reflect.Type) error {
	element := elementOf(like)
	c.out = append(c.out, '[')
	c.at++
	for first := true; c.next() != ']'; first = false {
		if !first {
			c.out = append(c.out, ',')
			c.at++
		}
		if err := c.value(element); err != nil {
			return err
		}
	}
	c.at++
	c.out = append(c.out, ']')
	return nil
}

func (c *canonicalizer) object(like reflect.Type) error {
	names := namesOf(like)
	c.out = append(c.out, '{')
	c.at++
	var members []member
	for first := true; c.next() != '}'; first = false {
		if !first {
			c.out = append(c.out, ',')
			c.at++
		}
		one, err := c.member(names)
		if err != nil {
			return err
		}
		members = append(members, one)
	}
	c.at++
	if err := c.order(members); err != nil {
		return err
	}
	c.out = append(c.out, '}')
	return nil
}

func (c *canonicalizer) member(names fields) (member, error) {
	from := len(c.out)
	c.next()
	token, err := c.text()
	if err != nil {
		return member{}, err
	}
	name, err := unquote(token)
	if err != nil {
		return member{}, err
	}
	like, err := c.field(names, name)
	if err != nil {
		return member{}, err
	}
	c.next() // the colon
	c.at++
	c.out = append(c.out, ':')
	c.path = append(c.path, name)
	err = c.value(like)
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

// order sorts the members at the end of out by name.
func (c *canonicalizer) order(members []member) error {
	byName := func(a, b member) int { return strings.Compare(a.name, b.name) }
	sorted := members
	if !slices.IsSortedFunc(members, byName) {
		sorted = slices.SortedStableFunc(slices.Values(members), byName)
	}
	for index := 1; index < len(sorted); index++ {
		if sorted[index].name == sorted[index-1].name {
			return c.fault(sorted[index].name, "is set twice", "keep one of them")
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

func (c *canonicalizer) fault(name, problem, remedy string) *Error {
	return &Error{Field: strings.Join(append(slices.Clone(c.path), name), "."), Problem: problem, Remedy: remedy}
}

// fields are the names that an object may hold. The value of any is the type
// of members with any name.
type fields struct {
	strict bool
	named  map[string]reflect.Type
	any    reflect.Type
}

func (c *canonicalizer) field(names fields, name string) (reflect.Type, error) {
	if !names.strict {
		return names.any, nil
	}
	if like, ok := names.named[name]; ok {
		return like, nil
	}
	for known := range names.named {
		if strings.EqualFold(known, name) {
			return nil, c.fault(name, "unknown field", fmt.Sprintf("write it %q", known))
		}
	}
	return nil, c.fault(name, "unknown field", "remove it or correct its name; see the JSON Schema")
}

// structs holds the fields of each struct type that was met.
var structs sync.Map

func namesOf(like reflect.Type) fields {
	like = pointed(like)
	switch {
	case like == nil:
		return fields{}
	case like.Kind() == reflect.Map:
		return fields{any: like.Elem()}
	case like.Kind() != reflect.Struct:
		return fields{}
	}
	if known, ok := structs.Load(like); ok {
		return known.(fields)
	}
	found := fields{strict: true, named: map[string]reflect.Type{}}
	for index := range like.NumField() {
		field := like.Field(index)
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			found.named[name] = field.Type
		}
	}
	structs.Store(like, found)
	return found
}

func elementOf(like reflect.Type) reflect.Type {
	like = pointed(like)
	if like == nil || like.Kind() != reflect.Slice {
		return nil
	}
	return like.Elem()
}

func pointed(like reflect.Type) reflect.Type {
	if like != nil && like.Kind() == reflect.Pointer {
		return like.Elem()
	}
	return like
}
