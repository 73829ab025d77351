package backend

import (
	"crypto/sha256"
	"encoding"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"net/http"
	"sync"
)

// MaxFileBytes is the largest size that GET /files/<bytes> serves.
const MaxFileBytes = 1 << 30

// patternSize is odd, so that the pattern does not align with buffers, whose sizes
// are powers of two. A repeated or skipped buffer therefore changes the content.
const patternSize = 65_521

var pattern = newPattern()

func newPattern() []byte {
	data := make([]byte, patternSize)
	state := uint32(1)
	for i := range data {
		state = state*1_664_525 + 1_013_904_223
		data[i] = byte(state >> 24)
	}
	return data
}

// SHA256Hex returns the SHA-256 of data in hexadecimal.
func SHA256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// EchoResponse is the response body of all routes except /files.
type EchoResponse struct {
	Token          string `json:"token"`
	CallID         string `json:"call_id"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// RequestSHA256 is the hash of the request body as received.
	RequestSHA256 string `json:"request_sha256"`
	Server        string `json:"server"`
}

// content is a response body that can be read at any offset.
type content struct {
	size   int64
	sum    string
	body   []byte // the whole body, unless it is a file
	tail   []byte // last bytes of a file; they depend on the token
	isFile bool
}

func echoContent(r *http.Request, server string, request []byte) content {
	body, err := json.Marshal(EchoResponse{
		Token:          r.Header.Get(HeaderToken),
		CallID:         r.Header.Get(HeaderCallID),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		RequestSHA256:  SHA256Hex(request),
		Server:         server,
	})
	if err != nil {
		// Encoding a struct of strings does not fail.
		panic(err)
	}
	return content{size: int64(len(body)), sum: SHA256Hex(body), body: body}
}

// fileContent returns the pattern with a tail that depends on the token. Files of the
// same size therefore differ between callers, and their hashes are known in advance.
func fileContent(size int64, token string) content {
	tail := []byte(SHA256Hex([]byte(token)))
	tail = tail[:min(size, int64(len(tail)))]
	sum := hashPattern(size - int64(len(tail)))
	sum.Write(tail)
	return content{size: size, sum: hex.EncodeToString(sum.Sum(nil)), tail: tail, isFile: true}
}

// FileSHA256 returns the hash of the response to GET /files/<size> for a token.
func FileSHA256(size int64, token string) string { return fileContent(size, token).sum }

// chunkAt returns a chunk of the body that starts at an offset.
func (c content) chunkAt(offset int64) []byte {
	if !c.isFile {
		return c.body[offset:]
	}
	patterned := c.size - int64(len(c.tail))
	if offset >= patterned {
		return c.tail[offset-patterned:]
	}
	chunk := pattern[offset%patternSize:]
	return chunk[:min(int64(len(chunk)), patterned-offset)]
}

// hashStates caches the hash state for each requested file size.
var hashStates sync.Map

// hashPattern returns the SHA-256 state after the first size bytes of the pattern.
func hashPattern(size int64) hash.Hash {
	sum := sha256.New()
	if state, ok := hashStates.Load(size); ok {
		if err := sum.(encoding.BinaryUnmarshaler).UnmarshalBinary(state.([]byte)); err != nil {
			panic(fmt.Sprintf("restore SHA-256 state: %v", err))
		}
		return sum
	}
	for left := size; left > 0; {
		n := min(left, patternSize)
		sum.Write(pattern[:n])
		left -= n
	}
	state, err := sum.(encoding.BinaryMarshaler).MarshalBinary()
	if err != nil {
		panic(fmt.Sprintf("save SHA-256 state: %v", err))
	}
	hashStates.Store(size, state)
	return sum
}
