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

// membersCommand prints what a softswitch holds of its tier.
func membersCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "members ADDRESS",
		Short: "Prints what the softswitch whose operators' door is at ADDRESS (host:port) holds of its tier",
		Long: `Asks one softswitch's door for its view of the tier, and prints a line a member.

Exit codes: 0 it sees a majority of the tier; 1 it doesn't; 3 the door gave no answer, or membership is off there.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := askTier(args[0], wait)
			if err != nil {
				return err
			}
			printTier(cmd.OutOrStdout(), t)
			if !t.Majority {
				return outcome(exitBroken)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 2*time.Second, "how long to wait for the door's answer")
	return cmd
}

// askTier asks a door for what it holds of its tier.
func askTier(address string, wait time.Duration) (t mgmt.TierStatus, err error) {
	status, text, err := callDoor(http.MethodGet, address, "/ops/members", wait)
	if err != nil {
		return t, err
	}
	if status != http.StatusOK {
		return t, fmt.Errorf("%s: %d: %.80s", address, status, text)
	}
	if err := json.Unmarshal([]byte(text), &t); err != nil {
		return t, fmt.Errorf("%s: not a view of a tier: %w", address, err)
	}
	return t, nil
}

// callDoor calls a softswitch's door.
func callDoor(method, address, path string, wait time.Duration) (status int, text string, err error) {
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := &http.Client{Timeout: wait}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return res.StatusCode, string(b), err
}

func printTier(out io.Writer, t mgmt.TierStatus) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tADDRESS\tSTATE\tFOR\tHEARD\tINCARNATION")
	for _, m := range t.Members {
		heard := "never"
		switch {
		case m.Index == t.Self:
			heard = "itself"
		case m.LastDatagramAgeMS != nil:
			heard = ms(*m.LastDatagramAgeMS) + " ago"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\n", m.Index, m.Address, m.State, ms(m.StateAgeMS), heard, m.Incarnation)
	}
	w.Flush()
	majority := "sees a majority"
	if !t.Majority {
		majority = "sees NO majority"
	}
	fmt.Fprintf(out, "%s; takes %.2f of its part of a cold server's budget; local health %d\n", majority, t.ColdShare, t.Health)
}

func ms(n int64) string {
	return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
}
