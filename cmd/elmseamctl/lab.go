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
	labExitPassed    = 0
	labExitViolation = 1 // an invariant is broken
	labExitInvalid   = 2 // the scenario makes no sense
	labExitFailed    = 3 // the lab itself failed
)

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Runs several softswitches with stand-ins round them, and injects faults"}
	var binary, out string
	run := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Plays a scenario file against processes of the program, and judges what it sees from outside",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			scenario, err := lab.ReadScenario(args[0])
			if err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitInvalid)
			}
			if out == "" {
				out = filepath.Join(os.TempDir(), "elmseam-lab-"+scenario.Name)
			}
			log := zerolog.New(os.Stderr).With().Timestamp().Str("scenario", scenario.Name).Logger()
			interrupted := make(chan os.Signal, 1)
			signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
			defer signal.Stop(interrupted)
			stop := make(chan struct{})
			go func() {
				if _, ok := <-interrupted; ok {
					close(stop)
				}
			}()
			result, err := lab.Run(scenario, lab.Options{Binary: binary, OutDir: out, Log: log, Stop: stop})
			if errors.Is(err, lab.ErrLab) {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitFailed)
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitInvalid)
			}
			text, _ := json.MarshalIndent(result, "", "  ")
			if err := errors.Join(os.WriteFile(filepath.Join(out, "verdict.json"), text, 0o644),
				result.WriteTable(filepath.Join(out, "seconds.csv")),
				result.WritePlots(filepath.Join(out, "load.png"), filepath.Join(out, "answers.png"))); err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitFailed)
			}
			printVerdict(c, result, out)
			if !result.Passed {
				return exitCode(labExitViolation)
			}
			return nil
		},
	}
	run.Flags().StringVar(&binary, "binary", "bin/elmseam", "the softswitch program")
	run.Flags().StringVar(&out, "out", "", "folder for the table, the verdict and the softswitches' logs")
	cmd.AddCommand(run, tierCommand())
	return cmd
}

func printVerdict(cmd *cobra.Command, result *lab.Result, out string) {
	output := cmd.OutOrStdout()
	fmt.Fprintf(output, "%s: offered %d, served %d, refused %d, lost %d, excused %d, unsent %d; lab lag at most %v, %d spans not judged\n",
		result.Scenario, result.Offered, result.Served, result.Refused, result.Lost, result.Excused, result.Unsent, result.MaxLag, result.LagSpans)
	for _, violation := range result.Violations {
		fmt.Fprintf(output, "BROKEN %s: first at %v, %d times: %s\n", violation.Rule, violation.First, violation.Count, violation.Detail)
	}
	verdict := "held"
	if !result.Passed {
		verdict = "broken"
	}
	fmt.Fprintf(output, "%s; table and logs in %s\n", verdict, out)
}
