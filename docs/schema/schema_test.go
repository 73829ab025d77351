package schema_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"marjoramsaddle/core/document"
	"marjoramsaddle/docs/schema"
)

func compile(t *testing.T, text []byte) *jsonschema.Schema {
	t.Helper()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("documents.json", value); err != nil {
		t.Fatal(err)
	}
	compiled, err := compiler.Compile("documents.json")
	if err != nil {
		t.Fatal(err)
	}
	return compiled
}

// validate returns the error of the schema, and the error of the decoder or the
// validation of the document set. The services that routes refer to are added to
// the set, because the schema does not check references between documents.
func validate(t *testing.T, compiled *jsonschema.Schema, data []byte) (schemaErr, decoderErr error) {
	t.Helper()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	set := document.NewSet()
	if decoderErr = set.Add("test", data); decoderErr != nil {
		return compiled.Validate(value), decoderErr
	}
	for _, configuration := range set.Configurations {
		for _, route := range configuration.Routes {
			set.Services[route.Service] = document.Service{Slots: 1, Connections: 1}
		}
	}
	return compiled.Validate(value), set.Validate()
}

func exampleFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../examples/*/*.json")
	if err != nil || len(files) < 6 {
		t.Fatalf("%d example files: %v", len(files), err)
	}
	return files
}

// Guards against a schema or a decoder that rejects the examples, and against
// either of them accepting an unknown field at any depth.
func TestExamplesPassAndUnknownFieldsFail(t *testing.T) {
	compiled := compile(t, schema.Documents)
	for _, file := range exampleFiles(t) {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			schemaErr, decoderErr := validate(t, compiled, data)
			is.NoErr(schemaErr)
			is.NoErr(decoderErr)
			var value any
			is.NoErr(json.Unmarshal(data, &value))
			visitObjects(value, func(object map[string]any) {
				object["surplus"] = true
				defer delete(object, "surplus")
				modified, err := json.Marshal(value)
				is.NoErr(err)
				schemaErr, decoderErr := validate(t, compiled, modified)
				is.True(schemaErr != nil)  // the schema rejects the unknown field
				is.True(decoderErr != nil) // the decoder rejects the unknown field
			})
		})
	}
}

func visitObjects(value any, visit func(object map[string]any)) {
	switch value := value.(type) {
	case map[string]any:
		visit(value)
		for _, inner := range value {
			visitObjects(inner, visit)
		}
	case []any:
		for _, inner := range value {
			visitObjects(inner, visit)
		}
	}
}

// Guards against different bounds in the schema and the decoder. An editor would
// then accept documents that the daemons refuse, or the reverse.
func TestSchemaAndDecoderBoundsAgree(t *testing.T) {
	compiled := compile(t, schema.Documents)
	service := func(fields string) string { return `[{"kind":"service","name":"s",` + fields + `}]` }
	route := func(fields string) string {
		return `[{"kind":"configuration","name":"c","routes":[{"name":"r","service":"s",` + fields + `}]}]`
	}
	configuration := func(fields string) string { return `[{"kind":"configuration","name":"c",` + fields + `}]` }
	selector := func(requirement string) string {
		return configuration(`"proxy_selector":{"match_expressions":[` + requirement + `]}`)
	}
	cases := []struct {
		valid bool
		text  string
	}{
		{true, service(`"slots":100000,"connections":1`)},
		{false, service(`"slots":100001,"connections":1`)},
		{false, service(`"slots":0,"connections":1`)},
		{false, service(`"slots":1`)},
		{false, service(`"slots":1,"connections":100001`)},
		{false, service(`"slots":1,"connections":1,"cold_start_ms":3600001`)},
		{false, service(`"slots":1,"connections":1,"labels":{"a b":""}`)},
		{false, `[{"kind":"proxy"}]`},
		{false, `[{"kind":"gateway","name":"g"}]`},
		{true, route(`"path_prefix":"/","timeout_ms":3600000,"class":"order"`)},
		{false, route(`"path_prefix":"/","timeout_ms":3600001,"class":"order"`)},
		{false, route(`"path_prefix":"/","timeout_ms":0,"class":"order"`)},
		{false, route(`"path_prefix":"x","timeout_ms":1,"class":"order"`)},
		{false, route(`"path_prefix":"/","timeout_ms":1,"class":"bulk"`)},
		{false, route(`"path_prefix":"/","timeout_ms":1,"class":"order","methods":["get"]`)},
		{false, route(`"path_prefix":"/","timeout_ms":1,"class":"order","methods":[""]`)},
		{true, configuration(`"limits":{"calls_per_s":1,"body_bytes":0,"queue_ms":0}`)},
		{false, configuration(`"limits":{"calls_per_s":0}`)},
		{false, configuration(`"limits":{"body_bytes":-1}`)},
		{false, configuration(`"limits":{"queue_ms":-1}`)},
		{true, configuration(`"retries":{"attempts":10,"budget_percent":100}`)},
		{false, configuration(`"retries":{"attempts":11}`)},
		{false, configuration(`"retries":{"budget_percent":101}`)},
		{true, selector(`{"key":"a","operator":"exists"}`)},
		{false, selector(`{"key":"a","operator":"exists","values":["b"]}`)},
		{false, selector(`{"key":"a","operator":"in"}`)},
		{false, selector(`{"key":"a","operator":"equals","values":["b"]}`)},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			schemaErr, decoderErr := validate(t, compiled, []byte(c.text))
			is.Equal(schemaErr == nil, c.valid)
			is.Equal(decoderErr == nil, c.valid)
		})
	}
}
