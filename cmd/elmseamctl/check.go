package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"elmseam/internal/explore"
)

// checkCommand returns the command "check", which explores the states of a model, and its subcommand "replay", which
// replays a trace.
func checkCommand() *cobra.Command {
	var cfg explore.Config
	var bounds explore.Bounds
	var memoryMiB int64
	var tracePath string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Explore all states of a small model, and check its invariants",
		Long: `Explores every state that a few calls at a few servers can reach, with the reducer and the decision module that the
softswitch itself runs, and checks the invariants on their effects. Actions occur at the instant at which a timer
expires, before or after the timer, and after a pause; timers that expire together fire in every order.

Exit codes: 0 all states explored, no invariant violated; 1 an invariant is violated; 2 no invariant violated in the
explored states, but there are more states; 3 invalid command, flag or file.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bounds.Memory = memoryMiB << 20
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			result, err := explore.Run(ctx, cfg, bounds)
			if err != nil {
				return err
			}
			return printExploration(cmd.OutOrStdout(), cfg, result, tracePath)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Model, "model", explore.ModelCalls,
		"model to explore: calls, circuits (of M3UA), members (of a tier), works (their maintenance) or parts (their quotas of budgets)")
	flags.IntVar(&cfg.Servers, "servers", 2, "number of servers, circuits or members")
	flags.IntVar(&cfg.Calls, "calls", 2, "number of calls, or of 500 ms periods in which faults occur")
	flags.IntVar(&cfg.Attempts, "attempts", 4, "max. attempts of a call")
	flags.IntVar(&cfg.Faults, "faults", 1, "max. faults in total: resets, lost connections, changes of the server list, give-ups ...")
	flags.IntVar(&cfg.Pauses, "pauses", 1,
		"max. pauses: 120 ms in which no timer expires (calls), a stall of the server (circuits), a pause of a member (members, works, parts)")
	flags.DurationVar(&cfg.GiveUp, "wait", time.Second, "time after which a caller gives up")
	flags.Uint64Var(&cfg.Seed, "seed", 0, "seed of the decision module (calls) or of the members (members, works, parts)")
	flags.IntVar(&bounds.Depth, "depth", 0, "stop at this number of successive actions (0: no limit)")
	flags.DurationVar(&bounds.Time, "time", 5*time.Minute, "stop after this time (0: no limit)")
	flags.Int64Var(&memoryMiB, "memory", 1024, "stop when the visited states take this many MiB")
	flags.IntVar(&bounds.Workers, "workers", 0, "number of parallel workers (0: one per processor)")
	flags.IntVar(&bounds.Walks, "walks", 0, "number of random walks to a terminal state after an incomplete exploration")
	flags.StringVar(&tracePath, "trace", "", "file for the counterexample (default: standard output)")
	cmd.AddCommand(&cobra.Command{
		Use:   "replay FILE",
		Short: "Replay a trace, and print its actions",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return replayTrace(cmd.OutOrStdout(), args[0]) },
	})
	cmd.SetContext(context.Background())
	return cmd
}

// printExploration prints the result of an exploration and writes the counterexample, if any.
func printExploration(out io.Writer, cfg explore.Config, result *explore.Report, tracePath string) error {
	fmt.Fprintf(out, "%s: %d servers, %d calls, %d attempts, %d faults, %d pauses: %d states, %d steps, %d terminal states, %v, %d MiB\n",
		cfg.Model, cfg.Servers, cfg.Calls, cfg.Attempts, cfg.Faults, cfg.Pauses, result.States, result.Steps,
		result.TerminalStates, result.Elapsed.Round(time.Millisecond), result.Memory>>20)
	if result.Counterexample != nil {
		fmt.Fprintf(out, "BROKEN %v, in %d steps\n", &result.Counterexample.Violation, len(result.Counterexample.Actions))
		if err := writeTrace(out, result.Counterexample, tracePath); err != nil {
			return err
		}
		return exitCode(exitViolation)
	}
	if result.Complete {
		fmt.Fprintf(out, "complete: all reachable states explored, up to %d actions deep; no invariant is violated\n", result.Depth)
		return nil
	}
	fmt.Fprintf(out,
		"INCOMPLETE, stopped by the bound on %s: all states up to %d actions deep explored, and some deeper ones",
		result.StopReason, result.Depth)
	if result.Walks > 0 {
		fmt.Fprintf(out, ", %d random walks to a terminal state", result.Walks)
	}
	fmt.Fprintln(out, "; no invariant is violated in these")
	return exitCode(exitIncomplete)
}

// writeTrace writes a trace to the file path, or to out where path is empty.
func writeTrace(out io.Writer, trace *explore.Trace, path string) error {
	if path == "" {
		return trace.Write(out)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := trace.Write(file); err != nil {
		file.Close()
		return err
	}
	fmt.Fprintf(out, "the trace is in %s\n", path)
	return file.Close()
}

// replayTrace replays the trace in the file path and prints each action with its time.
func replayTrace(out io.Writer, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	trace, err := explore.ReadTrace(file)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	stepNumber := 0
	violation, err := trace.Replay(trace.Config, func(action explore.Action, at time.Duration) {
		stepNumber++
		fmt.Fprintf(out, "%3d %8v  %s\n", stepNumber, at, action)
	})
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", path, err)
	case violation != nil:
		fmt.Fprintf(out, "BROKEN %v\n", violation)
		return exitCode(exitViolation)
	}
	fmt.Fprintln(out, "no invariant is violated")
	return nil
}
