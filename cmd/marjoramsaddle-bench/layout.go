package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/standin/authority"
)

// hostsFile lists the hosts of a layout, one a line.
const hostsFile = "hosts.tsv"

const hostsMode = 0o600

// layoutCommand writes the settings and certificates of a fleet on loopback,
// for the demonstration and for runs by hand.
func layoutCommand() *cobra.Command {
	var out, platformURL, operator string
	var options fleet.Options
	cmd := &cobra.Command{
		Use:   "layout",
		Short: "Write settings and test certificates for a fleet on this machine",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			options.Operator = fleet.Operator(operator)
			return writeLayout(out, platformURL, options)
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "folder to write to")
	cmd.Flags().StringVar(&platformURL, "platform", "", "base URL of the platform")
	cmd.Flags().StringVar(&operator, "operator", string(fleet.Clouterie), "whose services to lay out: clouterie or kumtasi")
	cmd.Flags().IntVar(&options.Daemons, "daemons", 13, "number of hosts")
	cmd.Flags().IntVar(&options.FirstPort, "first-port", 23000, "first port on loopback")
	_ = cmd.MarkFlagRequired("out")
	_ = cmd.MarkFlagRequired("platform")
	return cmd
}

func writeLayout(out, platformURL string, options fleet.Options) error {
	layout, err := fleet.New(options)
	if err != nil {
		return err
	}
	folder, err := filepath.Abs(out)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	issuer, err := authority.New()
	if err != nil {
		return err
	}
	if err := layout.Write(folder, issuer, fleet.DaemonSettings(platformURL, nil)); err != nil {
		return err
	}
	return writeHosts(filepath.Join(folder, hostsFile), layout)
}

func writeHosts(name string, layout *fleet.Layout) error {
	text := ""
	for _, host := range layout.Hosts {
		text += fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", host.Name, host.Domain, host.Service.Name,
			host.Caller, host.Operator, host.Backend, host.BackendControl, host.Service.Slots, host.Service.Connections)
	}
	return os.WriteFile(name, []byte(text), hostsMode)
}
