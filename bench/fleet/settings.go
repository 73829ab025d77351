package fleet

import (
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/settings"
)

// DaemonSettings returns settings for daemons that read the platform at the
// given URL and run with the given experiment.
func DaemonSettings(platformURL string, change func(*settings.Settings)) Settings {
	return func(host Host, seeds []Host, files Files) any {
		s := settings.Settings{
			Host:             host.Name,
			FailureDomain:    host.Domain,
			Region:           host.Region,
			Service:          host.Service.Name,
			CallerAddress:    host.Caller.String(),
			ControlAddress:   host.Peer.String(),
			ControlAdvertise: host.Announced.String(),
			HopAddress:       host.Hop.String(),
			OperatorAddress:  host.Operator.String(),
			BackendAddress:   host.Backend.String(),
			PlatformURL:      platformURL,
			TLS: settings.TLS{
				CertificateFile: files.Certificate,
				KeyFile:         files.Key,
				AuthorityFile:   files.Root,
			},
		}
		for _, seed := range seeds {
			s.Seeds = append(s.Seeds, kernel.Seed{Host: seed.Name, Domain: seed.Domain, Address: seed.Announced.String()})
		}
		if change != nil {
			change(&s)
		}
		return s
	}
}
