// Command elmseamctl is for operators and developers: it checks the reducers that the softswitch runs, plays fleets of
// softswitches in the lab, and shows what a running one holds of its tier.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitPassed     = 0
	exitViolation  = 1 // a rule is broken: a counterexample was found, or plays
	exitIncomplete = 2 // none was found, and not every state was looked at
	exitUsage      = 3 // the command, a flag or a file makes no sense
)

// outcome ends the program with a code other than that of bad usage.
type exitCode int

func (o exitCode) Error() string { return fmt.Sprintf("exit code %d", int(o)) }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	root := &cobra.Command{
		Use: "elmseamctl", Short: "Tools for operators and developers of elmseam",
		SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return errors.New("no command; see --help") },
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(checkCommand(), labCommand(), membersCommand(), maintenanceCommand(), serversCommand())
	root.SetArgs(args)
	err := root.Execute()
	var code exitCode
	switch {
	case err == nil:
		return exitPassed
	case errors.As(err, &code):
		return int(code)
	}
	fmt.Fprintln(os.Stderr, "elmseamctl:", err)
	return exitUsage
}
