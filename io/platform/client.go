// Package platform is a read-only client of the key/value store of Consul's HTTP
// API. It supports plain reads and blocking queries, which wait for a change.
//
// # Usage
//
//	client := platform.NewClient("http://192.0.2.1:8500")
//	value, err := client.Read(ctx, manifest.Key, platform.After(7))
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/io/http1"
)

// The limits of one read.
const (
	// blockingWaitSeconds is how long the platform waits for a change before it
	// answers a blocking query.
	blockingWaitSeconds = 30
	// readTimeout bounds a plain read.
	readTimeout = 2 * time.Second
	// blockingReadTimeout bounds a blocking query. Consul may add up to a sixteenth
	// of the wait as jitter.
	blockingReadTimeout = (blockingWaitSeconds + 5) * time.Second
	// maxResponseBytes holds a value of one megabyte in base64 with its JSON envelope.
	maxResponseBytes = 2 << 20
)

// indexHeader is the response header with the index. It is also set if the key
// does not exist.
const indexHeader = "X-Consul-Index"

// ErrKeyNotFound is returned by Read if the key does not exist.
var ErrKeyNotFound = errors.New("platform: key does not exist: publish it")

// StatusError is a response whose status is neither 200 nor 404.
type StatusError struct {
	Status int
	Key    string
}

// Error returns the status, the key and a remedy.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: status %d for %s: check the platform", e.Status, e.Key)
}

// Value is the content of a key with its modify index.
type Value struct {
	Data  []byte
	Index id.Version
}

// Client reads keys of the platform. It may be used by several goroutines.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the platform at the base URL.
func NewClient(baseURL string) *Client {
	transport := http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true})
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &http.Client{Transport: transport}}
}

// ReadOption sets query parameters of one read.
type ReadOption func(url.Values)

// After makes the read block until the index of the key exceeds the given one, or
// until the wait of the platform ends. Zero does not block.
func After(index id.Version) ReadOption {
	return func(query url.Values) {
		if index > 0 {
			query.Set("index", strconv.FormatUint(uint64(index), 10))
			query.Set("wait", strconv.Itoa(blockingWaitSeconds)+"s")
		}
	}
}

// Consistent requests Consul's consistent mode, which never returns stale data.
func Consistent(required bool) ReadOption {
	return func(query url.Values) {
		if required {
			query.Set("consistent", "")
		}
	}
}

// Read reads one key. Its error is ErrKeyNotFound, with the index to pass to After
// in the value, a *StatusError, or a network or decoding error.
func (c *Client) Read(ctx context.Context, key string, options ...ReadOption) (Value, error) {
	query := url.Values{}
	for _, option := range options {
		option(query)
	}
	timeout := readTimeout
	if query.Has("index") {
		timeout = blockingReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, index, err := c.get(ctx, key, query)
	if err != nil {
		return Value{Index: index}, err
	}
	return decodeValue(key, body)
}

// get returns the body and the index of the response.
func (c *Client) get(ctx context.Context, key string, query url.Values) ([]byte, id.Version, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/kv/"+key+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := http1.ReadBody(response, maxResponseBytes)
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

// kvEntry is one element of the JSON array in a response.
type kvEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// decodeValue returns the only entry of a response, which must be that of the key.
func decodeValue(key string, body []byte) (Value, error) {
	var entries []kvEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return Value{}, fmt.Errorf("platform: decode response for %s: %w", key, err)
	}
	if len(entries) != 1 || entries[0].Key != key {
		return Value{}, fmt.Errorf("platform: response for %s does not contain exactly this key", key)
	}
	return Value{Data: entries[0].Value, Index: id.Version(entries[0].ModifyIndex)}, nil
}
