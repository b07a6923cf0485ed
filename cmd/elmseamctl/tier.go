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
	var plotDir string
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
			output := cmd.OutOrStdout()
			if err := reportScaling(output, sizes, runs, plotDir); err != nil {
				return err
			}
			return errors.Join(reportFalseDeaths(output, runs), reportKnowledge(output, runs))
		},
	}
	cmd.Flags().StringVar(&plotDir, "out", ".", "directory for the plots")
	cmd.Flags().IntSliceVar(&sizes, "sizes", []int{10, 100, 1000}, "numbers of members")
	cmd.Flags().IntVar(&runs, "plays", 5, "runs of each experiment, each with a different seed")
	return cmd
}

// runExperiments runs an experiment several times with the seeds 1, 2, ..., in parallel on all processors.
func runExperiments(experiment swarm.Experiment, runs int) ([]swarm.Outcome, error) {
	results, errs := make([]swarm.Outcome, runs), make([]error, runs)
	processorSlots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range runs {
		seeded := experiment
		seeded.Seed = uint64(i + 1)
		wg.Go(func() {
			processorSlots <- struct{}{}
			results[i], errs[i] = seeded.Run()
			<-processorSlots
		})
	}
	wg.Wait()
	return results, errors.Join(errs...)
}

// median returns the median of a value of the outcomes; for an even number of outcomes, the higher of the two middle values.
func median(outcomes []swarm.Outcome, valueOf func(swarm.Outcome) float64) float64 {
	var values []float64
	for _, outcome := range outcomes {
		values = append(values, valueOf(outcome))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// maxDatagramDelay is the MaxDelay of the experiments: a datagram takes 0.5 ms plus a random time below it.
const maxDatagramDelay = 5 * time.Millisecond

// reportScaling measures how the detection time and the load grow with the size of the tier, and writes a table to w
// and plots to outDir.
func reportScaling(output io.Writer, sizes []int, runs int, outDir string) error {
	limits := membership.Defaults()
	fmt.Fprintf(output, "Medians of %d runs; times after a kill in protocol periods of %v.\n\n", runs, limits.Period)
	fmt.Fprintln(output,
		"| members | loss | datagrams per member and s | bytes per member and s | first suspicion | first considers it dead | all consider it dead | all consider it dead, max. of the runs (-1: not in every run) |")
	fmt.Fprintln(output, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	detectionTimes, byteRates := map[string][][2]float64{}, map[string][][2]float64{}
	var lossNames []string
	for _, loss := range []float64{0, 0.1, 0.3} {
		lossName := fmt.Sprintf("%.0f %% lost", 100*loss)
		lossNames = append(lossNames, lossName)
		for _, size := range sizes {
			results, err := runExperiments(swarm.Experiment{Members: size, Limits: limits, Loss: loss, MaxDelay: maxDatagramDelay,
				WarmUp: 30 * time.Second, MeasureDuration: 20 * time.Second, Kill: true}, runs)
			if err != nil {
				return err
			}
			inPeriods := func(d time.Duration) float64 { return float64(d) / float64(limits.Period) }
			maxAllDead := 0.0
			for _, outcome := range results {
				if outcome.AllDead < 0 {
					maxAllDead = -1
					break
				}
				maxAllDead = max(maxAllDead, inPeriods(outcome.AllDead))
			}
			allDead := median(results, func(outcome swarm.Outcome) float64 { return inPeriods(outcome.AllDead) })
			byteRate := median(results, func(outcome swarm.Outcome) float64 { return outcome.ByteRate })
			fmt.Fprintf(output, "| %d | %.0f %% | %.1f | %.0f | %.1f | %.1f | %.1f | %.1f |\n", size, 100*loss,
				median(results, func(outcome swarm.Outcome) float64 { return outcome.DatagramRate }), byteRate,
				median(results, func(outcome swarm.Outcome) float64 { return inPeriods(outcome.FirstSuspected) }),
				median(results, func(outcome swarm.Outcome) float64 { return inPeriods(outcome.FirstDead) }), allDead, maxAllDead)
			detectionTimes[lossName] = append(detectionTimes[lossName], [2]float64{float64(size), allDead})
			byteRates[lossName] = append(byteRates[lossName], [2]float64{float64(size), byteRate})
		}
	}
	return errors.Join(
		lab.PlotGrowth(filepath.Join(outDir, "tier-detection.png"), "time from a kill until all consider the member dead",
			"protocol periods", lossNames, detectionTimes),
		lab.PlotGrowth(filepath.Join(outDir, "tier-load.png"), "load sent by a member", "bytes per second", lossNames, byteRates))
}

// reportKnowledge measures how many bytes the sharing of knowledge of servers costs, and how old the newest reports are.
func reportKnowledge(output io.Writer, runs int) error {
	fmt.Fprintf(output, "\nKnowledge of servers, medians of %d runs of 20 s, each 30 s after the start.\n\n", runs)
	fmt.Fprintln(output,
		"| members | servers | report to each member | loss | datagrams per member and s | bytes | bytes without knowledge | age of newest own report | age of newest known report |")
	fmt.Fprintln(output, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, setting := range []struct {
		members, servers int
		interval         time.Duration
		loss             float64
	}{{5, 3, 200 * time.Millisecond, 0}, {8, 3, 200 * time.Millisecond, 0}, {8, 3, 200 * time.Millisecond, 0.3},
		{300, 24, 10 * time.Second, 0}, {300, 24, 10 * time.Second, 0.3}} {
		experiment := swarm.Experiment{Members: setting.members, Limits: membership.Defaults(), Loss: setting.loss,
			MaxDelay: maxDatagramDelay, WarmUp: 30 * time.Second, MeasureDuration: 20 * time.Second}
		withoutKnowledge, err := runExperiments(experiment, runs)
		if err != nil {
			return err
		}
		experiment.Servers, experiment.ReportInterval = setting.servers, setting.interval
		withKnowledge, err := runExperiments(experiment, runs)
		if err != nil {
			return err
		}
		byteRate := func(outcome swarm.Outcome) float64 { return outcome.ByteRate }
		fmt.Fprintf(output, "| %d | %d | every %v | %.0f %% | %.1f | %.0f | %.0f | %.1f s | %.1f s |\n", setting.members,
			setting.servers, setting.interval, 100*setting.loss,
			median(withKnowledge, func(outcome swarm.Outcome) float64 { return outcome.DatagramRate }), median(withKnowledge, byteRate), median(withoutKnowledge, byteRate),
			median(withKnowledge, func(outcome swarm.Outcome) float64 { return outcome.OwnAge.Seconds() }),
			median(withKnowledge, func(outcome swarm.Outcome) float64 { return outcome.NewestKnownAge.Seconds() }))
	}
	return nil
}

// reportFalseDeaths measures how often unimpaired members are considered dead while datagrams are lost or other members
// are impaired, for plain SWIM and for each extension added to it (swarm.Variants).
func reportFalseDeaths(output io.Writer, runs int) error {
	fmt.Fprintf(output, "\nUnimpaired members considered dead, in %d runs of 120 s with 32 members; suspicions in brackets.\n\n", runs)
	fmt.Fprint(output, "| impairment |")
	for _, variant := range swarm.Variants {
		fmt.Fprintf(output, " %s |", variant.Name)
	}
	fmt.Fprint(output, "\n| --- |")
	for range swarm.Variants {
		fmt.Fprint(output, " --- |")
	}
	fmt.Fprintln(output)
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
		fmt.Fprintf(output, "| %s |", impairment.name)
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
			fmt.Fprintf(output, " %d (%d) |", deaths, suspicions)
		}
		fmt.Fprintln(output)
	}
	return nil
}
