package census

import "marjoramsaddle/core/kernel"

func init() { kernel.Register("census", newPlugin) }
