package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"elmseam/internal/mgmt"
)

// maintenanceCommand returns the command "maintenance", which requests, cancels and shows the tier's maintenance at the
// admin endpoint of a softswitch.
func maintenanceCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "maintenance",
		Short: "Takes softswitches of a tier out for maintenance in turn, through the admin endpoint of any of them",
		Long: `Exit codes: 0 the request was accepted, or the status shown; 1 the softswitch can't accept requests now, for example
because it is newly started: try again, or another softswitch; 3 no answer from the admin endpoint, ordered maintenance
is off there, or the command is invalid.`,
	}
	cmd.PersistentFlags().DurationVar(&timeout, "wait", 2*time.Second, "time to wait for the admin endpoint's answer")
	newRequestCommand := func(use, short, method string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.MinimumNArgs(2), RunE: func(command *cobra.Command, args []string) error {
			status, text, err := requestMaintenance(method, args[0], args[1:], timeout)
			switch {
			case err != nil:
				return err
			case status == http.StatusServiceUnavailable:
				fmt.Fprint(command.OutOrStdout(), text)
				return exitCode(exitViolation)
			case status != http.StatusAccepted:
				return fmt.Errorf("%s: %d: %s", args[0], status, strings.TrimSpace(text))
			}
			return nil
		}}
	}
	cmd.AddCommand(
		newRequestCommand("request ADDRESS MEMBER...", "Requests maintenance of members, given by name, peer address or index", http.MethodPost),
		newRequestCommand("cancel ADDRESS MEMBER...",
			"Withdraws requests; for a member that is ready for work, reports that the work is done", http.MethodDelete),
		&cobra.Command{Use: "status ADDRESS",
			Short: "Shows the waiting requests, and the members that are out for maintenance", Args: cobra.ExactArgs(1),
			RunE: func(command *cobra.Command, args []string) error {
				status, text, err := requestMaintenance(http.MethodGet, args[0], nil, timeout)
				if err != nil {
					return err
				}
				var maintenanceStatus mgmt.MaintenanceStatus
				if status != http.StatusOK || json.Unmarshal([]byte(text), &maintenanceStatus) != nil {
					return fmt.Errorf("%s: %d: %.80s", args[0], status, strings.TrimSpace(text))
				}
				printMaintenance(command.OutOrStdout(), maintenanceStatus)
				return nil
			}})
	return cmd
}

// requestMaintenance sends a maintenance request for the given members to the admin endpoint at address.
func requestMaintenance(method, address string, members []string, timeout time.Duration) (status int, text string, err error) {
	return sendAdminRequest(method, address, "/ops/maintenance?"+url.Values{"member": members}.Encode(), timeout)
}

// printMaintenance prints the granted, waiting and ended requests, in this order.
func printMaintenance(out io.Writer, status mgmt.MaintenanceStatus) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tNAME\tSTAGE\tREQUESTED\tRESTARTS\tEPOCH")
	for _, requests := range [][]mgmt.MaintenanceRequest{status.Granted, status.Queue, status.Ended} {
		for _, request := range requests {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%d\n", request.Index, request.Name, request.Stage,
				request.RequestedAt.Format(time.RFC3339), request.Restarts, request.Epoch)
		}
	}
	table.Flush()
	recoveryNote := ""
	if !status.Recovered {
		recoveryNote = "; NEWLY STARTED: accepts no requests and votes on no grants yet"
	}
	fmt.Fprintf(out, "%d members out for maintenance, at most %d allowed%s\n", len(status.Granted), status.Budget, recoveryNote)
}
