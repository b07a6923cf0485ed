package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"elmseam/internal/lab"
)

// maxSoakSeeds limits the seeds of one soak, so that every soak ends.
const maxSoakSeeds = 10000

// maxSoakParallel limits the trials that a soak plays at a time.
const maxSoakParallel = 16

// soakCommand returns the command "lab soak", which plays short, dense trials drawn from seeds.
func soakCommand() *cobra.Command {
	var seeds, binaryPath, outDir string
	var parallel int
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Plays short trials with many faults, one for each seed, and checks the rules from outside",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			first, last, err := parseSeeds(seeds)
			if err == nil && (parallel < 1 || parallel > maxSoakParallel) {
				err = fmt.Errorf("parallel: %d, not in [1, %d]", parallel, maxSoakParallel)
			}
			if err == nil && limit <= 0 {
				err = fmt.Errorf("limit: %v is not positive", limit)
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, "elmseamctl:", err)
				return exitCode(labExitInvalid)
			}
			if outDir == "" {
				outDir = filepath.Join(os.TempDir(), "elmseam-soak")
			}
			soak := &soak{command: command, binary: binaryPath, outDir: outDir, next: first, last: last, deadline: time.Now().Add(limit)}
			return soak.run(parallel)
		},
	}
	cmd.Flags().StringVar(&seeds, "seeds", "1-10", "the seeds, as FIRST-LAST or as one number")
	cmd.Flags().StringVar(&binaryPath, "binary", "bin/elmseam", "path of the softswitch program")
	cmd.Flags().StringVar(&outDir, "out", "", "folder for the records of violated trials (default: in the folder for temporary files)")
	cmd.Flags().IntVar(&parallel, "parallel", 3, "trials at a time")
	cmd.Flags().DurationVar(&limit, "limit", time.Hour, "no trial begins after this time")
	return cmd
}

// parseSeeds parses "FIRST-LAST" or one number.
func parseSeeds(text string) (first, last uint64, err error) {
	if n, _ := fmt.Sscanf(text, "%d-%d", &first, &last); n == 1 {
		last = first
	}
	if first == 0 || last < first || last-first >= maxSoakSeeds {
		return 0, 0, fmt.Errorf("seeds: %q, want FIRST-LAST with 1 <= FIRST <= LAST and at most %d seeds", text, maxSoakSeeds)
	}
	return first, last, nil
}

// soak is a series of trials.
type soak struct {
	command  *cobra.Command
	binary   string
	outDir   string
	deadline time.Time

	mu       sync.Mutex // guards the fields below
	next     uint64
	last     uint64
	played   int
	violated []uint64
	failed   error
}

// run plays the trials, several at a time, and prints the summary.
func (s *soak) run(parallel int) error {
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for seed, more := s.take(); more; seed, more = s.take() {
				s.play(seed)
			}
		})
	}
	workers.Wait()
	slices.Sort(s.violated)
	s.command.Printf("%d trials, %d with violations %v\n", s.played, len(s.violated), s.violated)
	switch {
	case s.failed != nil:
		fmt.Fprintln(os.Stderr, "elmseamctl:", s.failed)
		return exitCode(labExitFailed)
	case len(s.violated) > 0:
		return exitCode(labExitViolation)
	}
	return nil
}

// take returns the next seed, if there is one.
func (s *soak) take() (seed uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next > s.last || s.failed != nil || time.Now().After(s.deadline) {
		return 0, false
	}
	s.next++
	return s.next - 1, true
}

// play plays one trial and prints its line.
func (s *soak) play(seed uint64) {
	dir := filepath.Join(s.outDir, fmt.Sprintf("seed-%d", seed))
	os.RemoveAll(dir)
	result, err := lab.RunTrial(seed, lab.TrialOptions{Binary: s.binary, OutDir: dir})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played++
	if err != nil {
		s.failed = fmt.Errorf("seed %d: %w", seed, err)
		return
	}
	var rules []string
	for rule := range result.Violations {
		rules = append(rules, rule)
	}
	slices.Sort(rules)
	verdict := "held"
	if len(rules) > 0 {
		s.violated = append(s.violated, seed)
		verdict = "VIOLATED: " + strings.Join(rules, ", ") + "; record in " + dir
	}
	s.command.Printf("seed %d: offered %d, served %d, refused %d, late %d; %s\n", seed, result.Counts["offered"], result.Counts["served"],
		result.Counts["refused"], result.Counts["late"], verdict)
}
