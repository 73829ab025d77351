package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
	goahttp "goa.design/goa/v3/http"

	genclient "marjoramsaddle/gen/http/operator/client"
	gen "marjoramsaddle/gen/operator"
)

const (
	// defaultAddress is the operators' listener in the example settings, on the
	// loopback interface.
	defaultAddress = "127.0.0.1:7070"
	dialTimeout    = 2 * time.Second
	// responseTimeout bounds a whole request; the longest response is a trace.
	responseTimeout = 30 * time.Second
	// maxResponseBytes bounds a response body. The status of 5,400 hosts that
	// are all behind is under 1 MiB.
	maxResponseBytes = 64 << 20
)

// daemonFlags holds the address of a daemon and the files for mutual TLS. Plain
// HTTP is used if no certificate is given.
type daemonFlags struct{ address, certificate, key, authority string }

func (f *daemonFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "address", defaultAddress, "address of a daemon's operators' listener")
	cmd.Flags().StringVar(&f.certificate, "certificate", "", "file with the operator's certificate, for mutual TLS")
	cmd.Flags().StringVar(&f.key, "key", "", "file with the operator's key, for mutual TLS")
	cmd.Flags().StringVar(&f.authority, "authority", "", "file with the certificate authority of the daemons, for mutual TLS")
	cmd.MarkFlagsRequiredTogether("certificate", "key", "authority")
}

// newClient returns a client for the daemon without connecting to it.
func (f *daemonFlags) newClient() (*gen.Client, error) {
	scheme, hostPort := "http", strings.TrimPrefix(f.address, "http://")
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}
	if f.certificate != "" {
		config, err := f.tlsConfig()
		if err != nil {
			return nil, err
		}
		scheme, hostPort, transport.TLSClientConfig = "https", strings.TrimPrefix(f.address, "https://"), config
	}
	if _, _, err := net.SplitHostPort(hostPort); err != nil {
		return nil, &Error{ExitCode: Usage, Problem: "--address: " + err.Error(), Remedy: "use IP:PORT; https needs --certificate"}
	}
	httpClient := &http.Client{Transport: transport, Timeout: responseTimeout}
	c := genclient.NewClient(scheme, hostPort, httpClient, goahttp.RequestEncoder, decodeJSON, false)
	return gen.NewClient(c.Status(), c.View(), c.Drain(), c.Trace(), c.Health()), nil
}

func decodeJSON(response *http.Response) goahttp.Decoder {
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
}

func (f *daemonFlags) status(ctx context.Context) (*gen.FleetStatus, error) {
	client, err := f.newClient()
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	return status, f.wrapError(err)
}

func (f *daemonFlags) view(ctx context.Context, host string) (*gen.ProxyView, error) {
	client, err := f.newClient()
	if err != nil {
		return nil, err
	}
	view, err := client.View(ctx, &gen.ViewPayload{Host: &host})
	return view, f.wrapError(err)
}

func (f *daemonFlags) drain(ctx context.Context) (*gen.Drained, error) {
	client, err := f.newClient()
	if err != nil {
		return nil, err
	}
	drained, err := client.Drain(ctx)
	return drained, f.wrapError(err)
}

// wrapError adds the exit code and the remedy to a request's error. It returns
// nil for a nil error.
func (f *daemonFlags) wrapError(err error) error {
	if err == nil {
		return nil
	}
	var fault *gen.Fault
	if !errors.As(err, &fault) {
		return &Error{
			ExitCode: Unreachable, Problem: fmt.Sprintf("no answer from the daemon at %s: %v", f.address, err),
			Remedy: "check that it runs and that --address is its operators' listener",
		}
	}
	code := Unreachable
	if fault.Name != "unavailable" {
		code = Usage
	}
	return &Error{ExitCode: code, Problem: fmt.Sprintf("the daemon at %s: %s", f.address, fault.Problem), Remedy: fault.Remedy}
}

func newDrain() *cobra.Command {
	var flags daemonFlags
	cmd := &cobra.Command{
		Use:   "drain --address ADDRESS",
		Short: "Start the graceful shutdown of one daemon",
		Long: `Start the graceful shutdown of one daemon: it takes no new work and ends the
work in progress.

` + exitCodes,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			drained, err := flags.drain(cmd.Context())
			if err != nil {
				return err
			}
			return printLine(cmd, "the daemon at "+flags.address+" is "+drained.Readiness)
		},
	}
	flags.register(cmd)
	// With a default address, a command without --address would drain the
	// daemon of this host by mistake.
	if err := cmd.MarkFlagRequired("address"); err != nil {
		panic(err)
	}
	return cmd
}
