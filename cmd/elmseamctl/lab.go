package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"elmseam/internal/lab"
)

// The exit codes of lab run.
const (
	labHeld   = 0
	labBroken = 1 // an invariant is broken
	labBad    = 2 // the scenario makes no sense
	labFailed = 3 // the lab itself failed
)

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Runs several softswitches with stand-ins round them, and injects faults"}
	var binary, out string
	run := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Plays a scenario file against processes of the program, and judges what it sees from outside",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := lab.ReadScenario(args[0])
			if err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return outcome(labBad)
			}
			if out == "" {
				out = filepath.Join(os.TempDir(), "elmseam-lab-"+s.Name)
			}
			log := zerolog.New(os.Stderr).With().Timestamp().Str("scenario", s.Name).Logger()
			interrupted := make(chan os.Signal, 1)
			signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
			defer signal.Stop(interrupted)
			stop := make(chan struct{})
			go func() {
				if _, ok := <-interrupted; ok {
					close(stop)
				}
			}()
			res, err := lab.Run(s, lab.Options{Binary: binary, OutDir: out, Log: log, Stop: stop})
			if errors.Is(err, lab.ErrLab) {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return outcome(labFailed)
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return outcome(labBad)
			}
			text, _ := json.MarshalIndent(res, "", "  ")
			if err := errors.Join(os.WriteFile(filepath.Join(out, "verdict.json"), text, 0o644),
				res.WriteTable(filepath.Join(out, "seconds.csv")),
				res.WritePlots(filepath.Join(out, "load.png"), filepath.Join(out, "answers.png"))); err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return outcome(labFailed)
			}
			printVerdict(c, res, out)
			if !res.Passed {
				return outcome(labBroken)
			}
			return nil
		},
	}
	run.Flags().StringVar(&binary, "binary", "bin/elmseam", "the softswitch program")
	run.Flags().StringVar(&out, "out", "", "folder for the table, the verdict and the softswitches' logs")
	cmd.AddCommand(run, tierCommand())
	return cmd
}

func printVerdict(c *cobra.Command, res *lab.Result, out string) {
	w := c.OutOrStdout()
	fmt.Fprintf(w, "%s: offered %d, served %d, refused %d, lost %d, excused %d, unsent %d; lab lag at most %v, %d spans not judged\n",
		res.Scenario, res.Offered, res.Served, res.Refused, res.Lost, res.Excused, res.Unsent, res.MaxLag, res.LagSpans)
	for _, b := range res.Violations {
		fmt.Fprintf(w, "BROKEN %s: first at %v, %d times: %s\n", b.Rule, b.First, b.Count, b.Detail)
	}
	verdict := "held"
	if !res.Passed {
		verdict = "broken"
	}
	fmt.Fprintf(w, "%s; table and logs in %s\n", verdict, out)
}
