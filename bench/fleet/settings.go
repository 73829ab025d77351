package fleet

import (
	"time"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/settings"
)

// IdempotencyOriginDelay is the time from the writing of the settings to the origin of
// the idempotency keys. A host accepts keys if it has run for 10 s before the origin,
// which leaves 5 s to start a fleet. Keys are rejected until then.
const IdempotencyOriginDelay = 15 * time.Second

// DaemonSettings returns the settings of daemons that read the platform at the given
// URL. change, if not nil, modifies the settings of each daemon.
func DaemonSettings(platformURL string, change func(*settings.Settings)) Settings {
	// Settings have a resolution of one second; rounding up keeps the full delay.
	origin := time.Now().Add(IdempotencyOriginDelay + time.Second).Truncate(time.Second).UTC()
	return func(host Host, seeds []Host, files Files) any {
		s := settings.Settings{
			Host:             host.Name,
			FailureDomain:    host.Domain,
			Region:           host.Region,
			Service:          host.Service.Name,
			CallerAddress:    host.Caller.String(),
			ControlAddress:   host.Control.String(),
			ControlAdvertise: host.AdvertisedControl.String(),
			HopAddress:       host.Hop.String(),
			OperatorAddress:  host.Operator.String(),
			BackendAddress:   host.Backend.String(),
			PlatformURL:      platformURL,

			IdempotencyOrigin: origin.Format(time.RFC3339),
			TLS: settings.TLS{
				CertificateFile: files.Certificate,
				KeyFile:         files.Key,
				AuthorityFile:   files.Root,
			},
		}
		for _, seed := range seeds {
			s.Seeds = append(s.Seeds, kernel.Seed{Host: seed.Name, Domain: seed.Domain, Address: seed.AdvertisedControl.String()})
		}
		if change != nil {
			change(&s)
		}
		return s
	}
}
