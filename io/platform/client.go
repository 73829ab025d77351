// Package platform reads the platform through the key/value part of Consul's
// HTTP interface: plain reads, and blocking queries that wait for a change. It
// never writes.
//
// Usage:
//
//	client := platform.NewClient("http://192.0.2.1:8500")
//	value, err := client.Read(ctx, manifest.Key, platform.After(7))
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/core/id"
)

// The bounds of one read.
const (
	// waitSeconds is how long the platform holds a blocking query.
	waitSeconds = 30
	// readTimeout bounds a plain read.
	readTimeout = 2 * time.Second
	// waitTimeout bounds a blocking query. Consul may add a sixteenth of the
	// wait as jitter.
	waitTimeout = (waitSeconds + 5) * time.Second
	// maxAnswerBytes is a value of one megabyte in base64 with its envelope.
	maxAnswerBytes = 2 << 20
)

// indexHeader holds the index of an answer, also for a missing key.
const indexHeader = "X-Consul-Index"

// ErrKeyNotFound means that the platform has no such key.
var ErrKeyNotFound = errors.New("platform: key is missing: publish it")

// StatusError is an answer that is not a value.
type StatusError struct {
	Status int
	Key    string
}

// Error names the status and the remedy.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: status %d for %s: check the platform", e.Status, e.Key)
}

// Value is a key's content with its modify index.
type Value struct {
	Data  []byte
	Index id.Version
}

// Client reads the platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at the base address.
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// ReadOption changes a read.
type ReadOption func(url.Values)

// After makes the read wait until the index of the key has passed the given
// one, or until the platform's wait ends.
func After(index id.Version) ReadOption {
	return func(query url.Values) {
		if index > 0 {
			query.Set("index", strconv.FormatUint(uint64(index), 10))
			query.Set("wait", strconv.Itoa(waitSeconds)+"s")
		}
	}
}

// Consistent makes the platform vouch that the answer is not stale.
func Consistent(wanted bool) ReadOption {
	return func(query url.Values) {
		if wanted {
			query.Set("consistent", "")
		}
	}
}

// Read reads one key. It returns ErrMissing with the index to wait from, a
// *StatusError, or an error of the network.
func (c *Client) Read(ctx context.Context, key string, options ...ReadOption) (Value, error) {
	query := url.Values{}
	for _, option := range options {
		option(query)
	}
	timeout := readTimeout
	if query.Has("index") {
		timeout = waitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, index, err := c.get(ctx, key, query)
	if err != nil {
		return Value{Index: index}, err
	}
	return decode(key, body)
}

// get returns the body and the index of the answer.
func (c *Client) get(ctx context.Context, key string, query url.Values) ([]byte, id.Version, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/kv/"+key+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	switch response.StatusCode {
	case http.StatusOK:
		return body, id.Version(index), nil
	case http.StatusNotFound:
		return nil, id.Version(index), ErrKeyNotFound
	default:
		return nil, 0, &StatusError{Status: response.StatusCode, Key: key}
	}
}

// row is one element of the platform's answer.
type row struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

func decode(key string, body []byte) (Value, error) {
	var rows []row
	if err := json.Unmarshal(body, &rows); err != nil {
		return Value{}, fmt.Errorf("platform: answer for %s: %w", key, err)
	}
	if len(rows) != 1 || rows[0].Key != key {
		return Value{}, fmt.Errorf("platform: answer for %s holds another key", key)
	}
	return Value{Data: rows[0].Value, Index: id.Version(rows[0].ModifyIndex)}, nil
}
