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

	"elmseam/internal/mgmt"
)

// serversCommand prints what a softswitch's tier knows of the servers.
func serversCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "servers ADDRESS",
		Short: "Prints what is known of each server, by whom and how old, and who holds which part of a cold one's budget",
		Long: `Asks one softswitch's door (host:port) for what its tier knows of the servers, and prints a line a server and
observer; then, where parts of cold servers' budgets move, a line a softswitch's part.

Exit codes: 0 no server is held for failing, nor for draining by a peer's word alone; 1 one is; 3 the door gave no
answer, or knowledge and parts are off there.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, text, err := callDoor(http.MethodGet, args[0], "/ops/servers", wait)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				return fmt.Errorf("%s: %d: %.80s", args[0], status, text)
			}
			var s mgmt.ServersStatus
			if err := json.Unmarshal([]byte(text), &s); err != nil {
				return fmt.Errorf("%s: not a view of servers: %w", args[0], err)
			}
			if !printServers(cmd.OutOrStdout(), s) {
				return outcome(exitBroken)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 2*time.Second, "how long to wait for the door's answer")
	return cmd
}

// printServers says no where a server is held for failing, or for draining by a peer's word alone.
func printServers(out io.Writer, s mgmt.ServersStatus) (well bool) {
	well = true
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(s.Servers) > 0 {
		fmt.Fprintln(w, "SERVER\tSTATE\tBY\tAGE\tHOLD BACK\tREPORT\tRATE\tLINES\tBAD\tWAY")
	}
	for _, one := range s.Servers {
		state := one.State
		if one.DrainReported {
			state += " (heard)"
		}
		well = well && !one.DrainReported && one.FailingShare <= 0.5
		fmt.Fprintf(w, "%s\t%s\tall\t\t%.2f\t\t%.1f\t\t%.2f\t\n", one.Name, state, one.HoldBackShare, one.MeanRate, one.FailingShare)
		for _, t := range one.Reports {
			by, report := fmt.Sprint(t.Index), "none"
			if t.Index == s.Self {
				by += " (itself)"
			}
			if t.HoldBackAgeMS != nil {
				report = ms(*t.HoldBackAgeMS) + " ago"
			}
			says := ""
			if t.Draining {
				says = "drains"
			}
			fmt.Fprintf(w, "\t%s\t%s\t%s\t%.2f\t%s\t%.1f\t%.0f\t%d\t%v\n", says, by, ms(t.AgeMS), t.HoldBackShare, report, t.Rate, t.Lines, t.FailureWeight,
				time.Duration(t.MinSetUpTimeUS)*time.Microsecond)
		}
		if one.Omitted > 0 {
			fmt.Fprintf(w, "\t\t%d others\n", one.Omitted)
		}
	}
	w.Flush()
	if len(s.Quotas) == 0 {
		return well
	}
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PART OF\tUSED HERE\tLENT\tGRANTED TO, BY EIGHTH")
	for _, p := range s.Quotas {
		var holders []string
		for u, h := range p.Holders {
			switch {
			case u == 0:
				holders = append(holders, "own")
			case h < 0:
				holders = append(holders, "-")
			default:
				holders = append(holders, fmt.Sprint(h))
			}
		}
		fmt.Fprintf(w, "%d\t%d of 8\t%d\t%s\n", p.Index, p.Usable, p.Lent, strings.Join(holders, " "))
	}
	w.Flush()
	if !s.QuotasActive {
		fmt.Fprintln(out, "no server is cold: no part is held")
	}
	return well
}
