package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"elmseam/internal/lab"
)

// Exit codes of "lab run".
const (
	labExitPassed    = 0 // no invariant was violated
	labExitViolation = 1 // an invariant was violated
	labExitInvalid   = 2 // the scenario is invalid or can't be read
	labExitFailed    = 3 // the lab itself failed; also exitUsage, for an invalid command line
)

// labCommand returns the command "lab" with its subcommands "run", "tier" and "soak".
func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Runs several softswitches with stand-ins for their callers and servers, and injects faults"}
	var binaryPath, outDir string
	var table bool
	runCommand := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Runs a scenario file against processes of the softswitch, and checks invariants on what is visible from outside",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			scenario, err := lab.ReadScenario(args[0])
			if err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitInvalid)
			}
			if outDir == "" {
				outDir = filepath.Join(os.TempDir(), "elmseam-lab-"+scenario.Name)
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
			result, err := lab.Run(scenario, lab.Options{Binary: binaryPath, OutDir: outDir, Log: log, Stop: stop})
			if errors.Is(err, lab.ErrLab) {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitFailed)
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitInvalid)
			}
			text, _ := json.MarshalIndent(result, "", "  ")
			if err := errors.Join(os.WriteFile(filepath.Join(outDir, "verdict.json"), text, 0o644),
				result.WriteTable(filepath.Join(outDir, "seconds.csv")),
				result.WritePlots(filepath.Join(outDir, "load.png"), filepath.Join(outDir, "answers.png"))); err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitFailed)
			}
			if table {
				printSeconds(command, result)
			}
			printVerdict(command, result, outDir)
			if !result.Passed {
				return exitCode(labExitViolation)
			}
			return nil
		},
	}
	runCommand.Flags().StringVar(&binaryPath, "binary", "bin/elmseam", "path of the softswitch program")
	runCommand.Flags().StringVar(&outDir, "out", "",
		"directory for the table, the pictures, the verdict and the softswitches' logs (default: in the temporary directory)")
	runCommand.Flags().BoolVar(&table, "table", false, "also print the outcomes of set-ups and each server's load, second by second")
	cmd.AddCommand(runCommand, tierCommand(), soakCommand())
	return cmd
}

// printSeconds prints the outcomes of set-ups and the attempts that reached each server, second by second.
func printSeconds(cmd *cobra.Command, result *lab.Result) {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "second\toffered\tserved\trefused\tlost\texcused\t%s\t\n", strings.Join(result.ServerNames(), "\t"))
	for second, stats := range result.Seconds() {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t", second, stats.Offered, stats.Served, stats.Refused, stats.Lost, stats.Excused)
		for _, server := range result.ServerNames() {
			fmt.Fprintf(table, "%d\t", stats.Arrivals[server])
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}

// printVerdict prints the counts, the violated invariants and the verdict of a lab run.
func printVerdict(cmd *cobra.Command, result *lab.Result, outDir string) {
	output := cmd.OutOrStdout()
	fmt.Fprintf(output,
		"%s: offered %d, served %d, refused %d, lost %d, excused %d, unsent %d; max. lag of the lab %v, %d time spans not checked\n",
		result.Scenario, result.Offered, result.Served, result.Refused, result.Lost, result.Excused, result.Unsent,
		result.MaxLag, result.LagSpans)
	for _, violation := range result.Violations {
		fmt.Fprintf(output, "BROKEN %s: first at %v, %d times: %s\n", violation.Rule, violation.First, violation.Count, violation.Detail)
	}
	verdict := "held"
	if !result.Passed {
		verdict = "broken"
	}
	fmt.Fprintf(output, "%s; table, pictures and logs in %s\n", verdict, outDir)
}
