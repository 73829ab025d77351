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

// MaxFileBytes bounds GET /files/<bytes>.
const MaxFileBytes = 1 << 30

// patternBytes is odd so that the pattern does not line up with the powers of
// two at which buffers end; a repeated or skipped buffer changes the content.
const patternBytes = 65_521

var pattern = newPattern()

func newPattern() []byte {
	data := make([]byte, patternBytes)
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

// EchoResponse is the body of each route but /files.
type EchoResponse struct {
	Token          string `json:"token"`
	CallID         string `json:"call_id"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// RequestSHA256 is the hash of the request's body as it arrived.
	RequestSHA256 string `json:"request_sha256"`
	Server        string `json:"server"`
}

// content is a body that can be read at any offset.
type content struct {
	size   int64
	sum    string
	body   []byte // the whole body, unless it is a file
	tail   []byte // the last bytes of a file, which depend on the token
	isFile bool
}

func answerContent(r *http.Request, server string, request []byte) content {
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
		// Strings always encode.
		panic(err)
	}
	return content{size: int64(len(body)), sum: SHA256Hex(body), body: body}
}

// fileContent is the pattern with a tail that depends on the token, so that two
// callers' files of one size differ, and their hash is known in advance.
func fileContent(size int64, token string) content {
	tail := []byte(SHA256Hex([]byte(token)))
	tail = tail[:min(size, int64(len(tail)))]
	sum := patternHash(size - int64(len(tail)))
	sum.Write(tail)
	return content{size: size, sum: hex.EncodeToString(sum.Sum(nil)), tail: tail, isFile: true}
}

// FileSHA256 returns the hash of GET /files/<size> for a request token.
func FileSHA256(size int64, token string) string { return fileContent(size, token).sum }

// at returns some of the body from an offset on.
func (c content) at(offset int64) []byte {
	if !c.isFile {
		return c.body[offset:]
	}
	patterned := c.size - int64(len(c.tail))
	if offset >= patterned {
		return c.tail[offset-patterned:]
	}
	chunk := pattern[offset%patternBytes:]
	return chunk[:min(int64(len(chunk)), patterned-offset)]
}

// hashStates holds the hash state of each file size that was asked for.
var hashStates sync.Map

// patternHash returns the SHA-256 state after the first size bytes.
func patternHash(size int64) hash.Hash {
	sum := sha256.New()
	if state, ok := hashStates.Load(size); ok {
		if err := sum.(encoding.BinaryUnmarshaler).UnmarshalBinary(state.([]byte)); err != nil {
			panic(fmt.Sprintf("restore SHA-256 state: %v", err))
		}
		return sum
	}
	for left := size; left > 0; {
		n := min(left, patternBytes)
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
