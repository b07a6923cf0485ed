// Command simhost runs the decision module under the simulator: batches of events come in on standard
// input, and a reply to each goes out on standard output.
package main

import (
	"bufio"
	"fmt"
	"os"

	"elmseam/internal/wire"
)

func main() {
	out := bufio.NewWriter(os.Stdout)
	if err := wire.NewHost().Serve(bufio.NewReader(os.Stdin), out, out.Flush); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
