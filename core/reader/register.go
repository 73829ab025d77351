package reader

import "marjoramsaddle/core/kernel"

func init() {
	kernel.Register("reader", func(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
		return newPlugin(env, shared)
	})
}
