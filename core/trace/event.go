package trace

import (
	"encoding/json"
	"fmt"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"

	"google.golang.org/protobuf/encoding/protojson"
)

// JSON encodings of the events. Each type except received is converted directly to its
// kernel event, so adding a field to the event but not here is a compile error.
type (
	linkUp struct {
		Host     id.Host   `json:"host"`
		Domain   id.Domain `json:"failure_domain"`
		Outbound bool      `json:"outbound,omitempty"`
	}
	linkDown struct {
		Host     id.Host `json:"host"`
		Outbound bool    `json:"outbound,omitempty"`
	}
	received struct {
		Host  id.Host         `json:"host"`
		Frame json.RawMessage `json:"frame"`
	}
	manifestRead struct {
		Index      id.Version `json:"index"`
		Data       []byte     `json:"data,omitempty"`
		Consistent bool       `json:"consistent,omitempty"`
	}
	partRead struct {
		Digest id.Digest `json:"digest"`
		Data   []byte    `json:"data,omitempty"`
	}
	hostListRead struct {
		Domain id.Domain  `json:"failure_domain"`
		Index  id.Version `json:"index"`
		Data   []byte     `json:"data,omitempty"`
	}
	readFailed struct {
		Read  kernel.Read `json:"read"`
		Cause string      `json:"cause"`
	}
	backendState struct {
		Ready    bool `json:"ready"`
		Draining bool `json:"draining"`
	}
	statusRequested struct {
		ID       uint64     `json:"id"`
		Deadline id.Instant `json:"deadline"`
	}
)

// bodyOf returns the JSON body of an event in a trace, or nil for events without
// fields.
func bodyOf(event kernel.Event) (any, error) {
	switch event := event.(type) {
	case kernel.Tick, kernel.DrainRequested:
		return nil, nil
	case kernel.LinkUp:
		return linkUp(event), nil
	case kernel.LinkDown:
		return linkDown(event), nil
	case kernel.Received:
		frame, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(event.Frame)
		return received{Host: event.Host, Frame: frame}, err
	case kernel.ManifestRead:
		return manifestRead(event), nil
	case kernel.PartRead:
		return partRead(event), nil
	case kernel.HostListRead:
		return hostListRead(event), nil
	case kernel.ReadFailed:
		return readFailed(event), nil
	case kernel.BackendState:
		return backendState(event), nil
	case kernel.StatusRequested:
		return statusRequested(event), nil
	default:
		return nil, fmt.Errorf("event %s cannot be written to a trace", event.EventName())
	}
}

func encode(event kernel.Event) (json.RawMessage, error) {
	body, err := bodyOf(event)
	if body == nil || err != nil {
		return nil, err
	}
	return json.Marshal(body)
}

func decode(name string, body json.RawMessage) (kernel.Event, error) {
	switch name {
	case kernel.Tick{}.EventName():
		return kernel.Tick{}, nil
	case kernel.DrainRequested{}.EventName():
		return kernel.DrainRequested{}, nil
	case kernel.Received{}.EventName():
		return decodeReceived(body)
	case kernel.LinkUp{}.EventName():
		decoded, err := decodeBody[linkUp](body)
		return kernel.LinkUp(decoded), err
	case kernel.LinkDown{}.EventName():
		decoded, err := decodeBody[linkDown](body)
		return kernel.LinkDown(decoded), err
	default:
		return decodePlatform(name, body)
	}
}

func decodePlatform(name string, body json.RawMessage) (kernel.Event, error) {
	switch name {
	case kernel.ManifestRead{}.EventName():
		decoded, err := decodeBody[manifestRead](body)
		return kernel.ManifestRead(decoded), err
	case kernel.PartRead{}.EventName():
		decoded, err := decodeBody[partRead](body)
		return kernel.PartRead(decoded), err
	case kernel.HostListRead{}.EventName():
		decoded, err := decodeBody[hostListRead](body)
		return kernel.HostListRead(decoded), err
	case kernel.ReadFailed{}.EventName():
		decoded, err := decodeBody[readFailed](body)
		return kernel.ReadFailed(decoded), err
	case kernel.BackendState{}.EventName():
		decoded, err := decodeBody[backendState](body)
		return kernel.BackendState(decoded), err
	case kernel.StatusRequested{}.EventName():
		decoded, err := decodeBody[statusRequested](body)
		return kernel.StatusRequested(decoded), err
	default:
		return nil, fmt.Errorf("event %q is unknown", name)
	}
}

func decodeBody[T any](body json.RawMessage) (T, error) {
	var decoded T
	err := json.Unmarshal(body, &decoded)
	return decoded, err
}

func decodeReceived(body json.RawMessage) (kernel.Event, error) {
	decoded, err := decodeBody[received](body)
	if err != nil {
		return nil, err
	}
	frame := &message.Frame{}
	if err := protojson.Unmarshal(decoded.Frame, frame); err != nil {
		return nil, err
	}
	return kernel.Received{Host: decoded.Host, Frame: frame}, nil
}
