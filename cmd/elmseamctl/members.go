package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"elmseam/internal/mgmt"
)

// membersCommand returns the command "members", which prints a softswitch's view of its tier.
func membersCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "members ADDRESS",
		Short: "Prints the view of the tier of the softswitch whose admin endpoint is at ADDRESS (host:port)",
		Long: `Asks the admin endpoint of one softswitch for its view of the tier, and prints one line for each member.

Exit codes: 0 the softswitch sees a majority of the tier; 1 it doesn't; 3 no answer from the admin endpoint, or
membership is off there.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := fetchTierStatus(args[0], timeout)
			if err != nil {
				return err
			}
			printTier(cmd.OutOrStdout(), status)
			if !status.Majority {
				return exitCode(exitViolation)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&timeout, "wait", 2*time.Second, "time to wait for the admin endpoint's answer")
	return cmd
}

// fetchTierStatus fetches /ops/members from the admin endpoint at address.
func fetchTierStatus(address string, timeout time.Duration) (tier mgmt.TierStatus, err error) {
	status, text, err := sendAdminRequest(http.MethodGet, address, "/ops/members", timeout)
	if err != nil {
		return tier, err
	}
	if status != http.StatusOK {
		return tier, fmt.Errorf("%s: %d: %.80s", address, status, text)
	}
	if err := json.Unmarshal([]byte(text), &tier); err != nil {
		return tier, fmt.Errorf("%s: invalid answer of /ops/members: %w", address, err)
	}
	return tier, nil
}

// sendAdminRequest sends a request to the admin endpoint at address. It reads at most 1 MiB of the answer.
func sendAdminRequest(method, address, path string, timeout time.Duration) (status int, text string, err error) {
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := &http.Client{Timeout: timeout}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return res.StatusCode, string(body), err
}

// printTier prints the members of the tier and a summary line.
func printTier(out io.Writer, status mgmt.TierStatus) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tADDRESS\tSTATE\tFOR\tLAST DATAGRAM\tINCARNATION")
	for _, member := range status.Members {
		lastReceived := "never"
		switch {
		case member.Index == status.Self:
			lastReceived = "itself"
		case member.LastDatagramAgeMS != nil:
			lastReceived = formatMS(*member.LastDatagramAgeMS) + " ago"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%d\n", member.Index, member.Address, member.State,
			formatMS(member.StateAgeMS), lastReceived, member.Incarnation)
	}
	table.Flush()
	majority := "sees a majority"
	if !status.Majority {
		majority = "sees NO majority"
	}
	fmt.Fprintf(out, "%s; uses %.2f of its quota of a cold server's budget; local health multiplier %d\n", majority,
		status.ColdQuotaFraction, status.Health)
}

// formatMS formats a number of milliseconds as a duration, rounded to 100 ms.
func formatMS(milliseconds int64) string {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond).String()
}
