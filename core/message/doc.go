// Package message holds the control messages that daemons exchange. The types are
// generated from message.proto by scripts/generate; the generated code is committed.
//
// # Usage
//
//	frame := &message.Frame{Body: &message.Frame_Want{Want: &message.Want{Base: 7}}}
package message
