// Command review-2 runs one case of the review against the project's programs, with stand-ins of its own for callers, servers, the command
// channel and BGP peers. Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name. trouble says whether the disruption takes place.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	// The cases review/6 to review/10.
	"flood-memory":     floodMemory,
	"answers-at-once":  answersAtOnce,
	"upgrade-twice":    upgradeTwice,
	"circuits-restart": circuitsRestart,
	"reset-set-up":     resetSetUp,
	// Found as well, not kept as cases: see REPORT-2.md.
	"flood-large":           floodLarge,
	"withdrawn-upgrade":     withdrawnUpgrade,
	"forgotten-connection":  forgottenConnection,
	"release-at-stop":       releaseAtStop,
	"circuits-upgrade":      circuitsUpgrade,
	"upgrade-and-stop":      upgradeAndStop,
	"release-after-restart": releaseAfterRestart,
	"vanished-server":       vanishedServer,
}

// limit is the longest time that a case may run.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT FOLDER")
		os.Exit(int(notRun))
	}
	os.Exit(int(run(os.Args[1], os.Args[2], os.Args[3])))
}

// run runs a case and ends all processes that it started.
func run(name, root, folder string) verdict {
	var err error
	if log, err = newRecorder(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	base := os.TempDir()
	if len(base) > 40 { // the path of a Unix socket has at most 107 bytes
		base = "/tmp"
	}
	dir, err := os.MkdirTemp(base, "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	w := &world{root: root, dir: dir}
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case", "%s, trouble %v", name, trouble)
	type result struct {
		verdict verdict
		err     error
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	results := make(chan result, 1)
	go func() {
		v, err := cases[name](w, trouble)
		results <- result{v, err}
	}()
	var r result
	select {
	case r = <-results:
	case <-stopped:
		r = result{notRun, errors.New("stopped by a signal")}
	case <-time.After(limit):
		r = result{notRun, fmt.Errorf("not done within %v", limit)}
	}
	w.stopAll()
	if r.err != nil {
		r.verdict = notRun
		log.add("case", "could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "could not run:", r.err)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", dir)
	}
	text := map[verdict]string{held: "the rule held", broken: "the rule was BROKEN", notRun: "not run"}[r.verdict]
	log.add("case", "verdict: %s", text)
	fmt.Println(text)
	return r.verdict
}
