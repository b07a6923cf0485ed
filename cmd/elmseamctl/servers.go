package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"elmseam/internal/budget"
	"elmseam/internal/mgmt"
)

// serversCommand returns the command "servers", which prints what a softswitch and its tier know of the servers.
func serversCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "servers ADDRESS",
		Short: "Prints the members' reports of each server, and which member holds which units of cold servers' budgets",
		Long: `Asks the admin endpoint (host:port) of one softswitch what its tier knows of the servers, and prints one line for each
server and reporting member; then, where units of cold servers' budgets move, one line for each member's quota.

Exit codes: 0 no server is considered failing, or draining only by another member's report; 1 a server is; 3 no answer
from the admin endpoint, or knowledge and parts are both off there.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, text, err := sendAdminRequest(http.MethodGet, args[0], "/ops/servers", timeout)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return fmt.Errorf("%s: %d: %.80s", args[0], status, text)
			}
			var serversStatus mgmt.ServersStatus
			if err := json.Unmarshal([]byte(text), &serversStatus); err != nil {
				return fmt.Errorf("%s: invalid answer of /ops/servers: %w", args[0], err)
			}
			if !printServers(cmd.OutOrStdout(), serversStatus) {
				return exitCode(exitViolation)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&timeout, "wait", 2*time.Second, "time to wait for the admin endpoint's answer")
	return cmd
}

// printServers prints the servers and the quotas. It returns false if a server is considered failing by more than half
// of the other members' weight, or draining only by another member's report.
func printServers(out io.Writer, status mgmt.ServersStatus) (healthy bool) {
	healthy = true
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(status.Servers) > 0 {
		fmt.Fprintln(table, "SERVER\tSTATE\tMEMBER\tAGE\tHOLD-BACK SHARE\tHOLD-BACK AGE\tRATE\tLINES\tFAILING\tMIN SET-UP TIME")
	}
	for _, server := range status.Servers {
		state := server.State
		if server.DrainReported {
			state += " (reported)"
		}
		healthy = healthy && !server.DrainReported && server.FailingShare <= 0.5
		fmt.Fprintf(table, "%s\t%s\tall\t\t%.2f\t\t%.1f\t\t%.2f\t\n", server.Name, state, server.HoldBackShare,
			server.MeanRate, server.FailingShare)
		for _, report := range server.Reports {
			observer, holdBackAge := fmt.Sprint(report.Index), "none"
			if report.Index == status.Self {
				observer += " (itself)"
			}
			if report.HoldBackAgeMS != nil {
				holdBackAge = formatMS(*report.HoldBackAgeMS) + " ago"
			}
			drainNote := ""
			if report.Draining {
				drainNote = "drains"
			}
			fmt.Fprintf(table, "\t%s\t%s\t%s\t%.2f\t%s\t%.1f\t%.0f\t%d\t%v\n", drainNote, observer,
				formatMS(report.AgeMS), report.HoldBackShare, holdBackAge, report.Rate, report.TotalLines, report.FailureWeight,
				time.Duration(report.MinSetUpTimeUS)*time.Microsecond)
		}
		if server.OmittedReports > 0 {
			fmt.Fprintf(table, "\t\t%d others not shown\n", server.OmittedReports)
		}
	}
	table.Flush()
	if len(status.Quotas) == 0 {
		return healthy
	}
	table = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "QUOTA OF\tUSABLE HERE\tLENT\tGRANTED TO, BY UNIT")
	for _, quota := range status.Quotas {
		var holders []string
		for unit, holder := range quota.Holders {
			switch {
			case unit == 0:
				holders = append(holders, "own")
			case holder < 0:
				holders = append(holders, "-")
			default:
				holders = append(holders, fmt.Sprint(holder))
			}
		}
		fmt.Fprintf(table, "%d\t%d of %d\t%d\t%s\n", quota.Index, quota.Usable, budget.Units, quota.Lent, strings.Join(holders, " "))
	}
	table.Flush()
	if !status.AnyCold {
		fmt.Fprintln(out, "no server is cold: no units are held")
	}
	return healthy
}
