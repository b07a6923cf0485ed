// Command simhost runs the decision module under the simulator: it reads batches of events from standard input and
// writes a reply to each batch to standard output.
package main

import (
	"bufio"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"elmseam/internal/membership"
	"elmseam/internal/wire"
)

func main() {
	membershipEnabled := false
	command := &cobra.Command{
		Use: "simhost", Short: "Runs the decision module under the simulator, on standard input and output",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			host := wire.NewHost()
			if membershipEnabled {
				host.EnableMembership(membership.Defaults())
			}
			out := bufio.NewWriter(os.Stdout)
			return host.Serve(bufio.NewReader(os.Stdin), out, out.Flush)
		},
	}
	command.Flags().BoolVar(&membershipEnabled, "members", false, "let the instances take part in their tier's membership where the settings permit peer messages")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
