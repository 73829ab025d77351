package member

import "marjoramsaddle/core/kernel"

func init() { kernel.Register("member", newPlugin) }
