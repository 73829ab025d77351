package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"marjoramsaddle/standin/backend"
)

// verify checks that an answer is the whole answer to its own call.
func verify(call Call, header http.Header, body []byte) (verdict Verdict, detail string) {
	if token := header.Get(backend.HeaderToken); token != call.Token {
		return Wrong, fmt.Sprintf("token %q of another call", token)
	}
	if callID := header.Get(backend.HeaderCallID); !call.owns(callID) {
		return Wrong, fmt.Sprintf("id %q of another call", callID)
	}
	if strings.HasPrefix(call.Path, filesPrefix) {
		return verifyFile(call, body)
	}
	return verifyAnswer(call, header, body)
}

// owns reports whether an answer with this id may go to the call.
func (c Call) owns(callID string) bool {
	return callID == c.ID || c.TwinID != "" && callID == c.TwinID
}

func verifyFile(call Call, body []byte) (verdict Verdict, detail string) {
	size, err := strconv.ParseInt(strings.TrimPrefix(call.Path, filesPrefix), 10, 64)
	if err != nil {
		return Wrong, err.Error()
	}
	if int64(len(body)) < size {
		return Truncated, fmt.Sprintf("%d of %d bytes", len(body), size)
	}
	if backend.SHA256Hex(body) != backend.FileSHA256(size, call.Token) {
		return Wrong, "hash of the file differs"
	}
	return OK, ""
}

func verifyAnswer(call Call, header http.Header, body []byte) (verdict Verdict, detail string) {
	if backend.SHA256Hex(body) != header.Get(backend.HeaderBodySHA256) {
		if bytes.HasPrefix(body, []byte("{")) && !json.Valid(body) {
			return Truncated, "answer ends early"
		}
		return Wrong, "hash of the answer differs"
	}
	var answer backend.EchoResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return Wrong, err.Error()
	}
	want := backend.EchoResponse{
		Token:          call.Token,
		CallID:         answer.CallID,
		Method:         call.Method,
		Path:           call.Path,
		IdempotencyKey: call.Key,
		RequestSHA256:  backend.SHA256Hex([]byte(call.Body)),
		Server:         answer.Server,
	}
	if !call.owns(answer.CallID) || answer != want {
		return Wrong, "answer to another request"
	}
	return OK, ""
}
