package document_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/document"
)

const valid = `[
 {"kind":"service","name":"counter","labels":{"team":"shop"},"slots":20,"connections":130},
 {"kind":"proxy","name":"a","labels":{"tier":"front"}},
 {"kind":"configuration","name":"all","priority":5,"proxy_selector":{"match_labels":{"tier":"front"},
  "match_expressions":[{"key":"team","operator":"in","values":["x"]}]},
  "routes":[{"name":"stock","path_prefix":"/stock","methods":["GET"],"service":"counter","timeout_ms":1000,"class":"lookup"}],
  "limits":{"queue_ms":50},"retries":{"attempts":2}}
]`

// Guards against names that the standard decoder accepts although they differ from
// the field names, and against objects whose meaning depends on which duplicate wins.
func TestNamesAreExactAndUnique(t *testing.T) {
	cases := []struct{ name, old, changed, remedy string }{
		{"other case", `"slots":20`, `"Slots":20`, `write it "slots"`},
		{"other case of a key field", `"kind":"proxy"`, `"Kind":"proxy"`, `write it "kind"`},
		{"other case of a nested field", `"timeout_ms"`, `"Timeout_MS"`, `write it "timeout_ms"`},
		{"folded letter", `"slots":20`, "\"\u017flots\":20", `write it "slots"`},
		{"unknown", `"slots":20`, `"slots":20,"slot":1`, "correct its name"},
		{"unknown and nested", `"queue_ms":50`, `"queue":50`, "correct its name"},
		{"twice", `"slots":20`, `"slots":20,"slots":30`, "keep one"},
		{"twice, once escaped", `"slots":20`, `"slots":20,"\u0073lots":30`, "keep one"},
		{"twice in a nested object", `"queue_ms":50`, `"queue_ms":50,"queue_ms":60`, "keep one"},
		{"twice in labels", `"tier":"front"}}`, `"tier":"front","tier":"back"}}`, "keep one"},
	}
	is.New(t).NoErr(document.NewSet().Add("file", []byte(valid)))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, c.old, c.changed, 1)
			is.True(text != valid)
			err := document.NewSet().Add("file", []byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.remedy))
			is.True(strings.HasPrefix(err.Error(), "file: ")) // the error names the file
		})
	}
}

// Guards against a canonical form that depends on the order of members or on white
// space, or that differs from the form in earlier builds.
func TestCanonicalForm(t *testing.T) {
	cases := []struct{ in, want string }{
		{` { "b" : [ 1 , 2.50 , 1e3 ] , "a" : { "d" : null , "c" : true } } `, `{"a":{"c":true,"d":null},"b":[1,2.50,1e3]}`},
		{`{"a":"<\u00e9\u0041\/>"}`, `{"a":"\u003céA/\u003e"}`},
		{`[{},[],""]`, `[{},[],""]`},
	}
	for _, c := range cases {
		is := is.New(t)
		got, err := document.Canonicalize([]byte(c.in))
		is.NoErr(err)
		is.Equal(string(got), c.want)
		is.Equal(string(got), string(reference(t, []byte(c.in))))
	}
	for _, bad := range []string{"", "{", `{"a":1}x`, `{"a":1,"a":2}`} {
		_, err := document.Canonicalize([]byte(bad))
		is.New(t).True(err != nil)
	}
}

// reference returns the canonical form as the standard library produces it.
func reference(t *testing.T, raw []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	is.New(t).NoErr(decoder.Decode(&value))
	out, err := json.Marshal(value)
	is.New(t).NoErr(err)
	return out
}

// Guards against panics, results that differ between two daemons, and a canonical
// form that decodes to a different document.
func FuzzAdd(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`[{"kind":"proxy","name":"\ud800\u2028","labels":{"<":"&"}}]`))
	f.Add([]byte("[{\"kind\":\"proxy\",\"name\":\"\xff\",\"labels\":null}]"))
	f.Add([]byte(`[null,{"kind":"service"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		first, second := document.NewSet(), document.NewSet()
		err, again := first.Add("file", data), second.Add("file", data)
		is.Equal(err == nil, again == nil)
		if err != nil {
			is.Equal(err.Error(), again.Error())
			return
		}
		is.Equal(first.Keys(), second.Keys())
		is.Equal(first.Canonical, second.Canonical)
		back := document.NewSet()
		for _, key := range first.Keys() {
			canonical := first.Canonical[key]
			is.Equal(string(canonical), string(reference(t, canonical)))
			is.NoErr(back.AddDocument("back", canonical))
		}
		is.Equal(back.Canonical, first.Canonical)
		is.True(reflect.DeepEqual(back.Services, first.Services))
		is.True(reflect.DeepEqual(back.Proxies, first.Proxies))
		is.True(reflect.DeepEqual(back.Configurations, first.Configurations))
	})
}
