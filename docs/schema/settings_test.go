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

// object is the part of a schema that names the fields of an object.
type object struct {
	Properties map[string]json.RawMessage `json:"properties"`
	Items      json.RawMessage            `json:"items"`
}

func fields(t *testing.T, text []byte) (names []string, found object) {
	t.Helper()
	if err := json.Unmarshal(text, &found); err != nil {
		t.Fatal(err)
	}
	return slices.Sorted(maps.Keys(found.Properties)), found
}

func tags(value any) []string {
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
// other way round.
func TestSettingsHaveTheFieldsOfTheDaemon(t *testing.T) {
	is := is.New(t)
	compile(t, schema.Settings)
	names, whole := fields(t, schema.Settings)
	is.Equal(names, tags(settings.Settings{}))
	names, _ = fields(t, whole.Properties["tls"])
	is.Equal(names, tags(settings.TLS{}))
	names, _ = fields(t, whole.Properties["experiment"])
	is.Equal(names, tags(settings.Experiment{}))
	_, seeds := fields(t, whole.Properties["seeds"])
	names, _ = fields(t, seeds.Items)
	is.Equal(names, tags(kernel.Seed{}))
}
