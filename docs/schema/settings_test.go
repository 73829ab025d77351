package schema_test

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/docs/schema"
	"marjoramsaddle/io/settings"
)

// objectSchema is the part of a JSON Schema that lists the fields of an object
// and describes the items of an array.
type objectSchema struct {
	Properties map[string]json.RawMessage `json:"properties"`
	Items      json.RawMessage            `json:"items"`
}

func parseObjectSchema(t *testing.T, text []byte) (names []string, parsed objectSchema) {
	t.Helper()
	if err := json.Unmarshal(text, &parsed); err != nil {
		t.Fatal(err)
	}
	return slices.Sorted(maps.Keys(parsed.Properties)), parsed
}

func jsonTags(value any) []string {
	structure := reflect.TypeOf(value)
	names := make([]string, 0, structure.NumField())
	for index := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(index).Tag.Get("json"), ",")
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Guards against a field that the daemon reads and the schema lacks, or the
// reverse.
func TestSettingsSchemaListsEveryField(t *testing.T) {
	is := is.New(t)
	compile(t, schema.Settings)
	names, root := parseObjectSchema(t, schema.Settings)
	is.Equal(names, jsonTags(settings.Settings{}))
	names, _ = parseObjectSchema(t, root.Properties["tls"])
	is.Equal(names, jsonTags(settings.TLS{}))
	names, _ = parseObjectSchema(t, root.Properties["experiment"])
	is.Equal(names, jsonTags(settings.Experiment{}))
	_, seeds := parseObjectSchema(t, root.Properties["seeds"])
	names, _ = parseObjectSchema(t, seeds.Items)
	is.Equal(names, jsonTags(kernel.Seed{}))
}
