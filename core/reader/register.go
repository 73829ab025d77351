package reader

import "marjoramsaddle/core/kernel"

func init() {
	kernel.Register("reader", func(env kernel.Environment, shared *kernel.Shared) kernel.Plugin {
		return newPlugin(env, shared)
	})
}
