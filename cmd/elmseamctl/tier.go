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

// tierCommand returns the command "lab tier", which measures membership in a discrete-event simulation.
func tierCommand() *cobra.Command {
	var out string
	var sizes []int
	var runs int
	cmd := &cobra.Command{
		Use:   "tier",
		Short: "Measures membership of large tiers in a discrete-event simulation: detection, load and false deaths, as tables and plots",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runs < 1 || runs > 100 || len(sizes) == 0 || slices.Min(sizes) < 3 || slices.Max(sizes) > 2000 {
				return errors.New("plays: 1 to 100; sizes: 3 to 2000")
			}
			w := cmd.OutOrStdout()
			if err := reportScaling(w, sizes, runs, out); err != nil {
				return err
			}
			return errors.Join(reportFalseDeaths(w, runs), reportKnowledge(w, runs))
		},
	}
	cmd.Flags().StringVar(&out, "out", ".", "directory for the plots")
	cmd.Flags().IntSliceVar(&sizes, "sizes", []int{10, 100, 1000}, "numbers of members")
	cmd.Flags().IntVar(&runs, "plays", 5, "runs of each experiment, each with a different seed")
	return cmd
}

// runExperiments runs an experiment several times with the seeds 1, 2, ..., in parallel on all processors.
func runExperiments(experiment swarm.Experiment, runs int) ([]swarm.Outcome, error) {
	results, errs := make([]swarm.Outcome, runs), make([]error, runs)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range runs {
		seeded := experiment
		seeded.Seed = uint64(i + 1)
		wg.Go(func() {
			slots <- struct{}{}
			results[i], errs[i] = seeded.Run()
			<-slots
		})
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

// median returns the median of a value of the outcomes; for an even number of outcomes, the higher of the two middle values.
func median(outcomes []swarm.Outcome, value func(swarm.Outcome) float64) float64 {
	var values []float64
	for _, outcome := range outcomes {
		values = append(values, value(outcome))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// maxDatagramDelay is the MaxDelay of the experiments: a datagram takes 0.5 ms plus a random time below it.
const maxDatagramDelay = 5 * time.Millisecond

// reportScaling measures how the detection time and the load grow with the size of the tier, and writes a table to w
// and plots to outDir.
func reportScaling(w io.Writer, sizes []int, runs int, outDir string) error {
	limits := membership.Defaults()
	fmt.Fprintf(w, "Medians of %d runs; times after a kill in protocol periods of %v.\n\n", runs, limits.Period)
	fmt.Fprintln(w,
		"| members | loss | datagrams per member and s | bytes per member and s | first suspicion | first considers it dead | all consider it dead | all consider it dead, max. of the runs (-1: not in every run) |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	detection, load := map[string][][2]float64{}, map[string][][2]float64{}
	var names []string
	for _, loss := range []float64{0, 0.1, 0.3} {
		name := fmt.Sprintf("%.0f %% lost", 100*loss)
		names = append(names, name)
		for _, size := range sizes {
			results, err := runExperiments(swarm.Experiment{Members: size, Limits: limits, Loss: loss, MaxDelay: maxDatagramDelay,
				WarmUp: 30 * time.Second, MeasureDuration: 20 * time.Second, Kill: true}, runs)
			if err != nil {
				return err
			}
			periods := func(d time.Duration) float64 { return float64(d) / float64(limits.Period) }
			worst := 0.0
			for _, outcome := range results {
				if outcome.AllDead < 0 {
					worst = -1
					break
				}
				worst = max(worst, periods(outcome.AllDead))
			}
			allDead := median(results, func(outcome swarm.Outcome) float64 { return periods(outcome.AllDead) })
			bytes := median(results, func(outcome swarm.Outcome) float64 { return outcome.ByteRate })
			fmt.Fprintf(w, "| %d | %.0f %% | %.1f | %.0f | %.1f | %.1f | %.1f | %.1f |\n", size, 100*loss,
				median(results, func(outcome swarm.Outcome) float64 { return outcome.DatagramRate }), bytes,
				median(results, func(outcome swarm.Outcome) float64 { return periods(outcome.FirstSuspected) }),
				median(results, func(outcome swarm.Outcome) float64 { return periods(outcome.FirstDead) }), allDead, worst)
			detection[name] = append(detection[name], [2]float64{float64(size), allDead})
			load[name] = append(load[name], [2]float64{float64(size), bytes})
		}
	}
	return errors.Join(
		lab.PlotGrowth(filepath.Join(outDir, "tier-detection.png"), "time from a kill until all consider the member dead",
			"protocol periods", names, detection),
		lab.PlotGrowth(filepath.Join(outDir, "tier-load.png"), "load sent by a member", "bytes per second", names, load))
}

// reportKnowledge measures how many bytes the sharing of knowledge of servers costs, and how old the newest reports are.
func reportKnowledge(w io.Writer, runs int) error {
	fmt.Fprintf(w, "\nKnowledge of servers, medians of %d runs of 20 s, each 30 s after the start.\n\n", runs)
	fmt.Fprintln(w,
		"| members | servers | report to each member | loss | datagrams per member and s | bytes | bytes without knowledge | age of newest own report | age of newest known report |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, config := range []struct {
		members, servers int
		interval         time.Duration
		loss             float64
	}{{5, 3, 200 * time.Millisecond, 0}, {8, 3, 200 * time.Millisecond, 0}, {8, 3, 200 * time.Millisecond, 0.3},
		{300, 24, 10 * time.Second, 0}, {300, 24, 10 * time.Second, 0.3}} {
		experiment := swarm.Experiment{Members: config.members, Limits: membership.Defaults(), Loss: config.loss,
			MaxDelay: maxDatagramDelay, WarmUp: 30 * time.Second, MeasureDuration: 20 * time.Second}
		without, err := runExperiments(experiment, runs)
		if err != nil {
			return err
		}
		experiment.Servers, experiment.ReportInterval = config.servers, config.interval
		with, err := runExperiments(experiment, runs)
		if err != nil {
			return err
		}
		bytes := func(outcome swarm.Outcome) float64 { return outcome.ByteRate }
		fmt.Fprintf(w, "| %d | %d | every %v | %.0f %% | %.1f | %.0f | %.0f | %.1f s | %.1f s |\n", config.members,
			config.servers, config.interval, 100*config.loss,
			median(with, func(outcome swarm.Outcome) float64 { return outcome.DatagramRate }), median(with, bytes), median(without, bytes),
			median(with, func(outcome swarm.Outcome) float64 { return outcome.OwnAge.Seconds() }),
			median(with, func(outcome swarm.Outcome) float64 { return outcome.NewestKnownAge.Seconds() }))
	}
	return nil
}

// reportFalseDeaths measures how often unimpaired members are considered dead while datagrams are lost or other members
// are impaired, for plain SWIM and for each extension added to it (swarm.Variants).
func reportFalseDeaths(w io.Writer, runs int) error {
	fmt.Fprintf(w, "\nUnimpaired members considered dead, in %d runs of 120 s with 32 members; suspicions in brackets.\n\n", runs)
	fmt.Fprint(w, "| impairment |")
	for _, variant := range swarm.Variants {
		fmt.Fprintf(w, " %s |", variant.Name)
	}
	fmt.Fprint(w, "\n| --- |")
	for range swarm.Variants {
		fmt.Fprint(w, " --- |")
	}
	fmt.Fprintln(w)
	base := swarm.Experiment{Members: 32, MaxDelay: maxDatagramDelay, WarmUp: 20 * time.Second, MeasureDuration: 120 * time.Second}
	for _, impairment := range []struct {
		name  string
		apply func(*swarm.Experiment)
	}{
		{"30 % of the datagrams lost", func(experiment *swarm.Experiment) { experiment.Loss = 0.3 }},
		{"8 paused for 2 s of every 2.25 s", func(experiment *swarm.Experiment) {
			experiment.Impaired, experiment.PauseDuration, experiment.PauseInterval = 8, 2*time.Second, 2250*time.Millisecond
		}},
		{"8 paused for 4 s of every 5 s", func(experiment *swarm.Experiment) {
			experiment.Impaired, experiment.PauseDuration, experiment.PauseInterval = 8, 4*time.Second, 5*time.Second
		}},
		{"8 paused for 8 s of every 9 s", func(experiment *swarm.Experiment) {
			experiment.Impaired, experiment.PauseDuration, experiment.PauseInterval = 8, 8*time.Second, 9*time.Second
		}},
		{"8 receive everything 600 ms late", func(experiment *swarm.Experiment) {
			experiment.Impaired, experiment.SlowDelay = 8, 600*time.Millisecond
		}},
	} {
		fmt.Fprintf(w, "| %s |", impairment.name)
		for _, variant := range swarm.Variants {
			experiment := base
			experiment.Limits = membership.Defaults()
			variant.Change(&experiment.Limits)
			impairment.apply(&experiment)
			results, err := runExperiments(experiment, runs)
			if err != nil {
				return err
			}
			deaths, suspicions := 0, uint64(0)
			for _, outcome := range results {
				deaths += outcome.FalseDeaths
				suspicions += outcome.Suspicions
			}
			fmt.Fprintf(w, " %d (%d) |", deaths, suspicions)
		}
		fmt.Fprintln(w)
	}
	return nil
}
