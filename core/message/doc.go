// Package message holds the control messages that daemons exchange. The types
// are generated from message.proto and committed; scripts/generate makes them
// anew.
//
// Usage:
//
//	frame := &message.Frame{Body: &message.Frame_Want{Want: &message.Want{Base: 7}}}
package message
