// Command elmseamctl is the tool of operators and developers. It explores the states of the softswitch's reducers, runs
// several softswitches in the lab, shows a running softswitch's view of its tier and of the servers, and requests
// maintenance of the tier's members.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of all commands except "lab run".
const (
	exitPassed     = 0 // success
	exitViolation  = 1 // an invariant is violated, or the softswitch reports an unhealthy state or can't accept a request now
	exitIncomplete = 2 // no violation found, but not every state was explored
	exitUsage      = 3 // invalid command, flag or file, no usable answer from the admin endpoint, or any other error
)

// exitCode is an error that ends the program with this code instead of exitUsage and without a message.
type exitCode int

// Error implements error.
func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line and returns the exit code.
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
