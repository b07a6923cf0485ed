// Command standin plays one case of the review: it starts the softswitch's processes and the stand-ins of its callers, servers and command
// channel, and writes down what was sent, answered and run. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held    = 0
	broken  = 1
	couldnt = 2
)

var cases = map[string]func(*play) (int, error){
	"rollback":                rollback,
	"two-upgrades":            twoUpgrades,
	"restart":                 restart,
	"retune":                  retune,
	"hung-server":             hungServer,
	"taken-address":           takenAddress,
	"silent-m3ua":             silentM3UA,
	"vanished-before-restart": vanishedBeforeRestart,
	"load":                    load,
	"load-isup":               loadISUP,
	"circuits":                circuits,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return couldnt
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	p := &play{record: r, trouble: os.Getenv("TROUBLE") != "0", listen: freeAddress()}
	defer p.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		p.printf("play     interrupted")
		p.end()
		os.Exit(couldnt)
	}()
	if p.root, err = repositoryRoot(); err == nil {
		p.tempDir, err = os.MkdirTemp("", "review")
	}
	verdict := couldnt
	if err == nil {
		p.printf("play     case %s, with the disruption: %v", os.Args[1], p.trouble)
		verdict, err = cases[os.Args[1]](p)
	}
	if err != nil {
		p.printf("play     the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldnt
	}
	p.printf("play     %s", []string{"the rule held", "the rule was BROKEN"}[verdict])
	fmt.Println([]string{"the rule held", "the rule was broken"}[verdict])
	return verdict
}

// addServers starts the servers, and the command channel that lists them.
func (p *play) addServers(count int) error {
	for i := range count {
		s, err := newServer(p.record, fmt.Sprintf("s%d", i+1), i)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, s)
	}
	var err error
	p.channel, err = newChannel(p.servers)
	return err
}

// startServing starts the first process and the front, and waits until the front admits the softswitch.
func (p *play) startServing() (*process, *front, *callerLink, error) {
	first, err := p.start("process 1")
	if err != nil {
		return nil, nil, nil, err
	}
	if !p.awaitReady(first, 10*time.Second) {
		return nil, nil, nil, fmt.Errorf("process 1 is not ready")
	}
	f := newFront(p.record, p.listen)
	l := f.awaitAdmission(10 * time.Second)
	if l == nil {
		return nil, nil, nil, fmt.Errorf("the front did not admit the softswitch")
	}
	return first, f, l, nil
}

// serverOf returns the server at which a call stands.
func (p *play) serverOf(id uint64) *server {
	for _, s := range p.servers {
		if call, found := s.call(fmt.Sprintf("%016x", id)); found && call.stands {
			return s
		}
	}
	return nil
}
