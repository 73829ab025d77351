package overlay

import "marjoramsaddle/core/kernel"

func init() { kernel.Register("overlay", newPlugin) }
