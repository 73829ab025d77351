package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// wire holds the names of the platform's interfaces, which stand in a file of their own.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err)
	}
	return names
}()

// headerRequestID names the id of a request.
var headerRequestID = wire["request_id"]
