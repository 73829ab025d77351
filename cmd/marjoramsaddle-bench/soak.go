package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"marjoramsaddle/bench/process"
	"marjoramsaddle/bench/soak"
)

var errBroken = errors.New("a promise was broken; the report names the seed, and the logs are kept")

func soakCommand() *cobra.Command {
	var first uint64
	var seeds, atOnce, hosts, idleRoutes int
	var versions, drills, keepLogs bool
	var duration time.Duration
	var logs string
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Harm daemons of the users' platform from outside and check their promises",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := process.SiblingPath("marjoramsaddle-sidecar")
			if err != nil {
				return err
			}
			group, ctx := errgroup.WithContext(cmd.Context())
			group.SetLimit(atOnce)
			reports := make([]soak.Report, seeds)
			for i := range reports {
				group.Go(func() error {
					seed := first + uint64(i)
					folder := filepath.Join(logs, fmt.Sprint("seed-", seed))
					if err := os.MkdirAll(folder, 0o700); err != nil {
						return err
					}
					reports[i], err = soak.Run(ctx, soak.Options{Program: program, Folder: folder, Seed: seed, Hosts: hosts, Duration: duration, IdleRoutes: idleRoutes, Versions: versions, Drills: drills})
					if err == nil && len(reports[i].Broken) == 0 && !keepLogs {
						return os.RemoveAll(folder)
					}
					return err
				})
			}
			if err := group.Wait(); err != nil {
				return err
			}
			if err := printJSON(cmd, reports); err != nil {
				return err
			}
			for i := range reports {
				if len(reports[i].Broken) > 0 {
					return errBroken
				}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&first, "first", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	cmd.Flags().IntVar(&atOnce, "at-once", 3, "seeds played at the same time")
	cmd.Flags().BoolVar(&versions, "versions", false, "publish versions all the time and inject only what may delay them")
	cmd.Flags().BoolVar(&drills, "drills", false, "let the store come back from a copy as well")
	cmd.Flags().IntVar(&idleRoutes, "idle-routes", 0, "routes in each configuration that no client uses")
	cmd.Flags().IntVar(&hosts, "hosts", 6, "hosts of each seed, 6 to 200")
	cmd.Flags().BoolVar(&keepLogs, "keep-logs", false, "keep the logs of seeds that pass as well")
	cmd.Flags().DurationVar(&duration, "duration", 10*time.Second, "time with faults for each seed")
	cmd.Flags().StringVar(&logs, "logs", filepath.Join(os.TempDir(), "marjoramsaddle-soak"), "folder for settings and logs, kept for seeds that fail")
	return cmd
}
