package main

import (
	"bytes"
	"embed"
	"strings"
	"text/template"
)

// The names and formats of the users' platform, which no Go file outside platform/ has.
//
//go:embed wire
var wire embed.FS

var (
	headers   = readHeaders()
	templates = template.Must(template.ParseFS(wire, "wire/*.json"))

	headerRequestID = headers["id"]
	headerDeadline  = headers["deadline"]
	headerExpected  = headers["expected"]
	headerSignature = headers["signature"]
	headerInstance  = headers["instance"]
)

// readHeaders returns the names of the headers by their keys in the file.
func readHeaders() map[string]string {
	// The file is embedded, so it is there.
	data, _ := wire.ReadFile("wire/headers.txt")
	found := map[string]string{}
	for line := range strings.Lines(string(data)) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		found[key] = name
	}
	return found
}

// render fills in one of the templates.
func render(name string, fields any) ([]byte, error) {
	var out bytes.Buffer
	err := templates.ExecuteTemplate(&out, name, fields)
	return out.Bytes(), err
}
