// Package schema embeds the JSON Schemas of the files that operators edit:
// documents, and the settings of a daemon.
//
// # Usage
//
//	os.Stdout.Write(schema.Documents)
package schema

import _ "embed"

// Documents is the JSON Schema, draft 2020-12, of an array of documents.
//
//go:embed documents.json
var Documents []byte

// Settings is the JSON Schema, draft 2020-12, of the settings of a daemon.
//
//go:embed settings.json
var Settings []byte
