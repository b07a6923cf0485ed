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
	var b explore.Bounds
	var memory int64
	var trace string
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
			b.Memory = memory << 20
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			r, err := explore.Run(ctx, cfg, b)
			if err != nil {
				return err
			}
			return report(cmd.OutOrStdout(), cfg, r, trace)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Model, "model", explore.ModelCalls, "what is explored: calls, circuits of the second front; members of a tier, their works, or their parts of budgets")
	f.IntVar(&cfg.Servers, "servers", 2, "servers, circuits, or members")
	f.IntVar(&cfg.Calls, "calls", 2, "calls, or periods of turmoil")
	f.IntVar(&cfg.Attempts, "attempts", 4, "attempts that a call may have")
	f.IntVar(&cfg.Faults, "faults", 1, "disturbances in all: resets, lost connections, changes of the list, give-ups ...")
	f.IntVar(&cfg.Pauses, "pauses", 1, "times that 120 ms pass with no timer due")
	f.DurationVar(&cfg.GiveUp, "wait", time.Second, "how long a caller waits")
	f.Uint64Var(&cfg.Seed, "seed", 0, "of the decisions, and of the walks")
	f.IntVar(&b.Depth, "depth", 0, "stop after so many things that happen one after the other (0: at none)")
	f.DurationVar(&b.Time, "time", 5*time.Minute, "stop after this time (0: at none)")
	f.Int64Var(&memory, "memory", 1024, "stop when the states seen fill so many MiB")
	f.IntVar(&b.Workers, "workers", 0, "at work at once (0: one a processor)")
	f.IntVar(&b.Walks, "walks", 0, "where it stops early, sample so many ways to the end")
	f.StringVar(&trace, "trace", "", "write a counterexample to this file (default: to the output)")
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
func report(out io.Writer, cfg explore.Config, r *explore.Report, path string) error {
	fmt.Fprintf(out, "%s: %d servers, %d calls, %d attempts, %d faults, %d pauses: %d states, %d steps, %d ends, %v, %d MiB\n",
		cfg.Model, cfg.Servers, cfg.Calls, cfg.Attempts, cfg.Faults, cfg.Pauses, r.States, r.Steps, r.TerminalStates, r.Elapsed.Round(time.Millisecond), r.Memory>>20)
	if r.Counterexample != nil {
		fmt.Fprintf(out, "BROKEN %v, in %d steps\n", &r.Counterexample.Violation, len(r.Counterexample.Actions))
		if err := write(out, r.Counterexample, path); err != nil {
			return err
		}
		return outcome(exitBroken)
	}
	if r.Complete {
		fmt.Fprintf(out, "complete: every state that can be reached, %d things deep; no rule is broken\n", r.Depth)
		return nil
	}
	fmt.Fprintf(out, "INCOMPLETE, stopped by the bound on %s: every state up to %d things deep, some beyond", r.StopReason, r.Depth)
	if r.Walks > 0 {
		fmt.Fprintf(out, ", %d ways sampled to the end", r.Walks)
	}
	fmt.Fprintln(out, "; no rule is broken in these")
	return outcome(exitIncomplete)
}

func write(out io.Writer, t *explore.Trace, path string) error {
	if path == "" {
		return t.Write(out)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := t.Write(f); err != nil {
		f.Close()
		return err
	}
	fmt.Fprintf(out, "the trace is in %s\n", path)
	return f.Close()
}

// replay plays a trace again.
func replay(out io.Writer, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	t, err := explore.ReadTrace(f)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	n := 0
	v, err := t.Replay(t.Config, func(a explore.Action, at time.Duration) {
		n++
		fmt.Fprintf(out, "%3d %8v  %s\n", n, at, a)
	})
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", path, err)
	case v != nil:
		fmt.Fprintf(out, "BROKEN %v\n", v)
		return outcome(exitBroken)
	}
	fmt.Fprintln(out, "no rule is broken")
	return nil
}
