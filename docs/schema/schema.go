// Package schema holds the JSON Schema of the files with documents that
// operators edit.
//
// Usage:
//
//	os.Stdout.Write(schema.Documents)
package schema

import _ "embed"

// Documents is the JSON Schema, draft 2020-12, of an array of documents.
//
//go:embed documents.json
var Documents []byte
