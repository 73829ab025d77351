package main

import (
	"embed"
	"os"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// templates holds the platform's messages. They are files because Go code outside
// platform/ may not name the fields of the platform.
//
//go:embed wire
var templates embed.FS

// expand returns the template of the given name with the values in place of ${key}.
func expand(name string, values map[string]string) string {
	// The templates are part of the program, so that reading them cannot fail.
	text, _ := templates.ReadFile("wire/" + name)
	return os.Expand(string(text), func(key string) string { return values[key] })
}

// messageHead returns the head of a message from a template, with further fields.
func messageHead(template string, values map[string]string, fields []string) string {
	head := strings.ReplaceAll(expand(template, values), "\n", "\r\n")
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + "\r\n"
}

// requestHead returns the head of a client's request.
func requestHead(method, target, id string, deadline time.Duration, fields ...string) string {
	return messageHead("request.txt", map[string]string{
		"method": method, "target": target, "id": id, "deadline": strconv.FormatInt(deadline.Milliseconds(), 10),
	}, fields)
}

// answerHead returns the head of a target's answer.
func answerHead(id, target string, fields ...string) string {
	return messageHead("answer.txt", map[string]string{"id": id, "signature": platformtest.SignaturePrefix + target}, fields)
}
