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

// checkCommand explores; its child plays a trace again.
func checkCommand() *cobra.Command {
	var cfg explore.Config
	var bounds explore.Bounds
	var memoryMiB int64
	var tracePath string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Explore what a few calls can meet, and hold it against the rules",
		Long: `Explores every state that a few calls at a few servers can come to, by the reducer and the decisions that the
softswitch itself runs, and holds what they ask of the sockets against the rules. Things happen at the instants at
which a timer is due, before or after it, and after a pause; timers that are due together come in every order.

Exit codes: 0 every state was looked at and no rule is broken; 1 a rule is broken; 2 no rule is broken in the states
that were looked at, and there are more; 3 the command makes no sense.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bounds.Memory = memoryMiB << 20
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			result, err := explore.Run(ctx, cfg, bounds)
			if err != nil {
				return err
			}
			return printReport(cmd.OutOrStdout(), cfg, result, tracePath)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Model, "model", explore.ModelCalls, "what is explored: calls, circuits of the second front; members of a tier, their works, or their parts of budgets")
	flags.IntVar(&cfg.Servers, "servers", 2, "servers, circuits, or members")
	flags.IntVar(&cfg.Calls, "calls", 2, "calls, or periods of turmoil")
	flags.IntVar(&cfg.Attempts, "attempts", 4, "attempts that a call may have")
	flags.IntVar(&cfg.Faults, "faults", 1, "disturbances in all: resets, lost connections, changes of the list, give-ups ...")
	flags.IntVar(&cfg.Pauses, "pauses", 1, "times that 120 ms pass with no timer due")
	flags.DurationVar(&cfg.GiveUp, "wait", time.Second, "how long a caller waits")
	flags.Uint64Var(&cfg.Seed, "seed", 0, "of the decisions, and of the walks")
	flags.IntVar(&bounds.Depth, "depth", 0, "stop after so many things that happen one after the other (0: at none)")
	flags.DurationVar(&bounds.Time, "time", 5*time.Minute, "stop after this time (0: at none)")
	flags.Int64Var(&memoryMiB, "memory", 1024, "stop when the states seen fill so many MiB")
	flags.IntVar(&bounds.Workers, "workers", 0, "at work at once (0: one a processor)")
	flags.IntVar(&bounds.Walks, "walks", 0, "where it stops early, sample so many ways to the end")
	flags.StringVar(&tracePath, "trace", "", "write a counterexample to this file (default: to the output)")
	cmd.AddCommand(&cobra.Command{
		Use:   "replay FILE",
		Short: "Play a trace again, and say what happens",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return replay(cmd.OutOrStdout(), args[0]) },
	})
	cmd.SetContext(context.Background())
	return cmd
}

// report says what was explored, and what was not.
func printReport(out io.Writer, cfg explore.Config, result *explore.Report, tracePath string) error {
	fmt.Fprintf(out, "%s: %d servers, %d calls, %d attempts, %d faults, %d pauses: %d states, %d steps, %d ends, %v, %d MiB\n",
		cfg.Model, cfg.Servers, cfg.Calls, cfg.Attempts, cfg.Faults, cfg.Pauses, result.States, result.Steps, result.TerminalStates, result.Elapsed.Round(time.Millisecond), result.Memory>>20)
	if result.Counterexample != nil {
		fmt.Fprintf(out, "BROKEN %v, in %d steps\n", &result.Counterexample.Violation, len(result.Counterexample.Actions))
		if err := writeTrace(out, result.Counterexample, tracePath); err != nil {
			return err
		}
		return exitCode(exitViolation)
	}
	if result.Complete {
		fmt.Fprintf(out, "complete: every state that can be reached, %d things deep; no rule is broken\n", result.Depth)
		return nil
	}
	fmt.Fprintf(out, "INCOMPLETE, stopped by the bound on %s: every state up to %d things deep, some beyond", result.StopReason, result.Depth)
	if result.Walks > 0 {
		fmt.Fprintf(out, ", %d ways sampled to the end", result.Walks)
	}
	fmt.Fprintln(out, "; no rule is broken in these")
	return exitCode(exitIncomplete)
}

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

// replay plays a trace again.
func replay(out io.Writer, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	trace, err := explore.ReadTrace(file)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	step := 0
	violation, err := trace.Replay(trace.Config, func(action explore.Action, at time.Duration) {
		step++
		fmt.Fprintf(out, "%3d %8v  %s\n", step, at, action)
	})
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", path, err)
	case violation != nil:
		fmt.Fprintf(out, "BROKEN %v\n", violation)
		return exitCode(exitViolation)
	}
	fmt.Fprintln(out, "no rule is broken")
	return nil
}
