package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"elmseam/internal/lab"
	"elmseam/internal/membership"
	"elmseam/internal/swarm"
)

// tierCommand measures membership in discrete-event time.
func tierCommand() *cobra.Command {
	var out string
	var sizes []int
	var plays int
	cmd := &cobra.Command{
		Use:   "tier",
		Short: "Measures membership at many members in discrete-event time: detection, load and false deaths, as tables and plots",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if plays < 1 || plays > 100 || len(sizes) == 0 || slices.Min(sizes) < 3 || slices.Max(sizes) > 2000 {
				return errors.New("plays: 1 to 100; sizes: 3 to 2000")
			}
			w := cmd.OutOrStdout()
			if err := growth(w, sizes, plays, out); err != nil {
				return err
			}
			return errors.Join(badly(w, plays), told(w, plays))
		},
	}
	cmd.Flags().StringVar(&out, "out", ".", "folder for the plots")
	cmd.Flags().IntSliceVar(&sizes, "sizes", []int{10, 100, 1000}, "members")
	cmd.Flags().IntVar(&plays, "plays", 5, "of each trial, with seeds of their own")
	return cmd
}

// outcomes runs so many plays of a trial, as many at once as there are processors.
func outcomes(t swarm.Experiment, plays int) ([]swarm.Outcome, error) {
	all, errs := make([]swarm.Outcome, plays), make([]error, plays)
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range plays {
		play := t
		play.Seed = uint64(i + 1)
		wg.Go(func() {
			room <- struct{}{}
			all[i], errs[i] = play.Run()
			<-room
		})
	}
	wg.Wait()
	return all, errors.Join(errs...)
}

// middle is the median of a figure.
func middle(all []swarm.Outcome, of func(swarm.Outcome) float64) float64 {
	var v []float64
	for _, o := range all {
		v = append(v, of(o))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

const trialDelay = 5 * time.Millisecond

// growth measures how detection and load grow with the tier.
func growth(w io.Writer, sizes []int, plays int, out string) error {
	l := membership.Defaults()
	fmt.Fprintf(w, "Medians of %d plays; times in periods of %v after a kill.\n\n", plays, l.Period)
	fmt.Fprintln(w, "| members | loss | datagrams a member and s | bytes a member and s | first suspicion | first holds it dead | all do | at most |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	detection, load := map[string][][2]float64{}, map[string][][2]float64{}
	var names []string
	for _, loss := range []float64{0, 0.1, 0.3} {
		name := fmt.Sprintf("%.0f %% lost", 100*loss)
		names = append(names, name)
		for _, n := range sizes {
			all, err := outcomes(swarm.Experiment{Members: n, Limits: l, Loss: loss, MaxDelay: trialDelay,
				WarmUp: 30 * time.Second, Measured: 20 * time.Second, Kill: true}, plays)
			if err != nil {
				return err
			}
			periods := func(d time.Duration) float64 { return float64(d) / float64(l.Period) }
			worst := 0.0
			for _, o := range all {
				if o.AllDead < 0 {
					worst = -1
					break
				}
				worst = max(worst, periods(o.AllDead))
			}
			dead := middle(all, func(o swarm.Outcome) float64 { return periods(o.AllDead) })
			bytes := middle(all, func(o swarm.Outcome) float64 { return o.ByteRate })
			fmt.Fprintf(w, "| %d | %.0f %% | %.1f | %.0f | %.1f | %.1f | %.1f | %.1f |\n", n, 100*loss,
				middle(all, func(o swarm.Outcome) float64 { return o.DatagramRate }), bytes,
				middle(all, func(o swarm.Outcome) float64 { return periods(o.FirstSuspected) }),
				middle(all, func(o swarm.Outcome) float64 { return periods(o.FirstDead) }), dead, worst)
			detection[name] = append(detection[name], [2]float64{float64(n), dead})
			load[name] = append(load[name], [2]float64{float64(n), bytes})
		}
	}
	return errors.Join(
		lab.PlotGrowth(filepath.Join(out, "tier-detection.png"), "a kill until all hold the member dead", "protocol periods", names, detection),
		lab.PlotGrowth(filepath.Join(out, "tier-load.png"), "what a member sends", "bytes a second", names, load))
}

// told measures what it costs that members tell each other of servers, and how fresh what they know is.
func told(w io.Writer, plays int) error {
	fmt.Fprintf(w, "\nWhat members know of servers, medians of %d plays of 20 s, each 30 s after the start.\n\n", plays)
	fmt.Fprintln(w, "| members | servers | a report comes to each | loss | datagrams a member and s | bytes | bytes without | newest own report | newest known |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range []struct {
		members, servers int
		hear             time.Duration
		loss             float64
	}{{5, 3, 200 * time.Millisecond, 0}, {8, 3, 200 * time.Millisecond, 0}, {8, 3, 200 * time.Millisecond, 0.3},
		{300, 24, 10 * time.Second, 0}, {300, 24, 10 * time.Second, 0.3}} {
		t := swarm.Experiment{Members: c.members, Limits: membership.Defaults(), Loss: c.loss, MaxDelay: trialDelay, WarmUp: 30 * time.Second, Measured: 20 * time.Second}
		without, err := outcomes(t, plays)
		if err != nil {
			return err
		}
		t.Servers, t.ReportInterval = c.servers, c.hear
		with, err := outcomes(t, plays)
		if err != nil {
			return err
		}
		bytes := func(o swarm.Outcome) float64 { return o.ByteRate }
		fmt.Fprintf(w, "| %d | %d | every %v | %.0f %% | %.1f | %.0f | %.0f | %.1f s | %.1f s |\n", c.members, c.servers, c.hear, 100*c.loss,
			middle(with, func(o swarm.Outcome) float64 { return o.DatagramRate }), middle(with, bytes), middle(without, bytes),
			middle(with, func(o swarm.Outcome) float64 { return o.OwnAge.Seconds() }), middle(with, func(o swarm.Outcome) float64 { return o.AnyAge.Seconds() }))
	}
	return nil
}

// badly measures whom members that do badly have held dead, step by step from SWIM alone.
func badly(w io.Writer, plays int) error {
	fmt.Fprintf(w, "\nMembers held dead that were there and did well, in %d plays of 120 s with 32 members; suspicions beside.\n\n", plays)
	fmt.Fprint(w, "| trouble |")
	for _, v := range swarm.Variants {
		fmt.Fprintf(w, " %s |", v.Name)
	}
	fmt.Fprint(w, "\n| --- |")
	for range swarm.Variants {
		fmt.Fprint(w, " --- |")
	}
	fmt.Fprintln(w)
	base := swarm.Experiment{Members: 32, MaxDelay: trialDelay, WarmUp: 20 * time.Second, Measured: 120 * time.Second}
	for _, c := range []struct {
		name  string
		apply func(*swarm.Experiment)
	}{
		{"30 % of the datagrams lost", func(t *swarm.Experiment) { t.Loss = 0.3 }},
		{"8 stand still for 2 s of every 2.25 s", func(t *swarm.Experiment) {
			t.Impaired, t.PauseDuration, t.PauseInterval = 8, 2*time.Second, 2250*time.Millisecond
		}},
		{"8 stand still for 4 s of every 5 s", func(t *swarm.Experiment) {
			t.Impaired, t.PauseDuration, t.PauseInterval = 8, 4*time.Second, 5*time.Second
		}},
		{"8 stand still for 8 s of every 9 s", func(t *swarm.Experiment) {
			t.Impaired, t.PauseDuration, t.PauseInterval = 8, 8*time.Second, 9*time.Second
		}},
		{"8 take in all 600 ms late", func(t *swarm.Experiment) { t.Impaired, t.SlowDelay = 8, 600*time.Millisecond }},
	} {
		fmt.Fprintf(w, "| %s |", c.name)
		for _, v := range swarm.Variants {
			t := base
			t.Limits = membership.Defaults()
			v.Change(&t.Limits)
			c.apply(&t)
			all, err := outcomes(t, plays)
			if err != nil {
				return err
			}
			deaths, suspicions := 0, uint64(0)
			for _, o := range all {
				deaths += o.FalseDeaths
				suspicions += o.Suspicions
			}
			fmt.Fprintf(w, " %d (%d) |", deaths, suspicions)
		}
		fmt.Fprintln(w)
	}
	return nil
}
