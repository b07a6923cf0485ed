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

// maintenanceCommand asks a softswitch's door for maintenance of the tier.
func maintenanceCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "maintenance",
		Short: "Has softswitches of a tier taken out for work in turn, at any one's operators' door",
		Long: `Exit codes: 0 it was taken in, or shown; 1 the softswitch asked is not settled yet, ask again or another one;
3 the door gave no answer, ordered maintenance is off there, or the command makes no sense.`,
	}
	cmd.PersistentFlags().DurationVar(&timeout, "wait", 2*time.Second, "how long to wait for the door's answer")
	newOrderCommand := func(use, short, method string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.MinimumNArgs(2), RunE: func(c *cobra.Command, args []string) error {
			status, text, err := requestMaintenance(method, args[0], args[1:], timeout)
			switch {
			case err != nil:
				return err
			case status == http.StatusServiceUnavailable:
				fmt.Fprint(c.OutOrStdout(), text)
				return exitCode(exitViolation)
			case status != http.StatusAccepted:
				return fmt.Errorf("%s: %d: %s", args[0], status, strings.TrimSpace(text))
			}
			return nil
		}}
	}
	cmd.AddCommand(
		newOrderCommand("request ADDRESS MEMBER...", "Asks for maintenance of members, by name, peers' address or number", http.MethodPost),
		newOrderCommand("cancel ADDRESS MEMBER...", "Withdraws requests; of a member that is ready for work it says that the work is done", http.MethodDelete),
		&cobra.Command{Use: "status ADDRESS", Short: "Shows the queue, and who is out", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			status, text, err := requestMaintenance(http.MethodGet, args[0], nil, timeout)
			if err != nil {
				return err
			}
			var view mgmt.MaintenanceStatus
			if status != http.StatusOK || json.Unmarshal([]byte(text), &view) != nil {
				return fmt.Errorf("%s: %d: %.80s", args[0], status, strings.TrimSpace(text))
			}
			printMaintenance(c.OutOrStdout(), view)
			return nil
		}})
	return cmd
}

func requestMaintenance(method, address string, members []string, timeout time.Duration) (status int, text string, err error) {
	return adminRequest(method, address, "/ops/maintenance?"+url.Values{"member": members}.Encode(), timeout)
}

func printMaintenance(out io.Writer, status mgmt.MaintenanceStatus) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tNAME\tSTAGE\tASKED\tTRIES\tEPOCH")
	for _, requests := range [][]mgmt.MaintenanceRequest{status.Granted, status.Queue, status.Ended} {
		for _, request := range requests {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%d\n", request.Index, request.Name, request.Stage, request.RequestedAt.Format(time.RFC3339), request.Restarts, request.Epoch)
		}
	}
	table.Flush()
	note := ""
	if !status.Recovered {
		note = "; NOT settled yet: it grants nothing and takes no request"
	}
	fmt.Fprintf(out, "%d out of at most %d%s\n", len(status.Granted), status.Budget, note)
}
