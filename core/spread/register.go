package spread

import "marjoramsaddle/core/kernel"

func init() {
	kernel.Register("spread", func(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
		return newPlugin(env, shared)
	})
}
