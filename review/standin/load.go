package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// load is a search for faults, no case: callers make calls while the softswitch meets a disruption, named by DISRUPT.
func load(p *play) (int, error) {
	if err := p.addServers(3); err != nil {
		return couldnt, err
	}
	for _, s := range p.servers {
		s.delay = func(string) time.Duration {
			if rand.IntN(20) == 0 {
				return time.Duration(rand.IntN(2500)) * time.Millisecond
			}
			return time.Duration(5+rand.IntN(150)) * time.Millisecond
		}
		s.serveCall = func(call *serverCall) {
			if call.key[0] == 's' { // the server ends it
				time.AfterFunc(time.Duration(300+rand.IntN(4000))*time.Millisecond, func() { s.finish(call.id) })
			}
		}
	}
	if os.Getenv("FAULTS") != "" {
		for _, s := range p.servers {
			s.fault = func(call *serverCall) string {
				faults := []string{"full", "moot", "error", "cut", "reset", "mute", "spoilt"}
				if rand.IntN(5) == 0 {
					return faults[rand.IntN(len(faults))]
				}
				return ""
			}
		}
	}
	if c := os.Getenv("CLASSES"); c != "" {
		p.classes = strings.NewReplacer("EFFECT1", strings.Split(c, ",")[0], "EFFECT2", strings.Split(c, ",")[1], "EFFECT3", strings.Split(c, ",")[2]).Replace(
			`[{"name":"status-check","effect":"EFFECT1","gain":1,"objective-us":1200000,"hard-limit-us":9000000,"group":"all","window-us":5000000},
{"name":"activate","effect":"EFFECT2","gain":3,"objective-us":1500000,"hard-limit-us":9000000,"group":"all","window-us":5000000},
{"name":"profile-read","effect":"EFFECT3","gain":1,"objective-us":1500000,"hard-limit-us":9000000,"group":"cell","window-us":5000000}]`)
	}
	proc, f, first, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	connections := 6
	if n, err := strconv.Atoi(os.Getenv("CONNECTIONS")); err == nil {
		connections = n
	}
	type made struct {
		id       uint64
		sentAt   time.Time
		left     time.Duration
		link     *callerLink
		givenUp  bool
		released bool
		relAt    time.Time
		class    int
	}
	var mu sync.Mutex
	var calls []*made
	links := []*callerLink{first}
	alive := func(l *callerLink) bool {
		select {
		case <-l.done:
			return false
		default:
			return true
		}
	}
	pick := func() *callerLink {
		mu.Lock()
		defer mu.Unlock()
		for i := 0; i < len(links); {
			if !alive(links[i]) {
				links = append(links[:i], links[i+1:]...)
				continue
			}
			i++
		}
		if len(links) < connections {
			if l, err := f.connect(); err == nil {
				if os.Getenv("PIECES") != "" {
					l.pieces = func(size int) int { return rand.IntN(size) }
				}
				links = append(links, l)
			} else {
				p.printf("load     connect: %v", err)
			}
		}
		if len(links) == 0 {
			return nil
		}
		return links[rand.IntN(len(links))]
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.IntN(30)) * time.Millisecond):
			}
			l := pick()
			if l == nil {
				continue
			}
			who := "s"
			if rand.IntN(3) == 0 {
				who = "c"
			}
			left := time.Duration(300+rand.IntN(2700)) * time.Millisecond
			m := &made{left: left, link: l, sentAt: time.Now()}
			class := rand.IntN(3)
			m.class = class
			id, err := l.setUp([]string{"status-check", "activate", "profile-read"}[class], who+fmt.Sprint(rand.IntN(1<<30)), left)
			if err != nil {
				p.printf("load     set-up not written: %v", err)
				continue
			}
			m.id = id
			mu.Lock()
			calls = append(calls, m)
			mu.Unlock()
			time.AfterFunc(left, func() { // give up
				if len(f.eventsOf(id)) == 0 {
					m.givenUp = true
					l.release(id, 16)
				}
			})
			if who == "c" {
				wg.Go(func() {
					if f.await(id, 1, left) && f.eventsOf(id)[0].kind == 9 {
						time.Sleep(time.Duration(200+rand.IntN(3000)) * time.Millisecond)
						if len(f.eventsOf(id)) > 1 {
							return
						}
						for range 20 {
							if on := pick(); on != nil && on.release(id, 16) == nil {
								m.released, m.relAt = true, time.Now()
								return
							}
							time.Sleep(50 * time.Millisecond)
						}
					}
				})
			}
		}
	})
	time.Sleep(3 * time.Second)
	switch os.Getenv("DISRUPT") {
	case "upgrade":
		for i := range 2 {
			next, err := p.start(fmt.Sprintf("process %d", i+2))
			if err != nil {
				return couldnt, err
			}
			if !p.awaitReady(next, 6*time.Second) {
				return couldnt, fmt.Errorf("not ready")
			}
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			p.signal(proc, syscall.SIGTERM)
			if !proc.awaitEnd(5700 * time.Millisecond) {
				p.signal(proc, syscall.SIGKILL)
			}
			proc = next
			time.Sleep(2 * time.Second)
		}
	case "retune":
		first := p.classes
		for i := range 10 {
			if i%2 == 0 {
				p.attempts = 2
				p.classes = `[{"name":"added","effect":"free","gain":1,"objective-us":1200000,"hard-limit-us":9000000},
{"name":"profile-read","effect":"single_shot","gain":1,"objective-us":1500000,"hard-limit-us":9000000},
{"name":"status-check","effect":"guarded","gain":1,"objective-us":1200000,"hard-limit-us":9000000},
{"name":"activate","effect":"free","gain":3,"objective-us":1500000,"hard-limit-us":9000000}]`
				p.classCells = "[[0,1,2],[0,1,2],[0,1,2],[0,1,2]]"
			} else {
				p.attempts, p.classes, p.classCells = 4, first, ""
			}
			p.writeConfig("config.json")
			p.signal(proc, syscall.SIGHUP)
			time.Sleep(time.Duration(300+rand.IntN(800)) * time.Millisecond)
		}
		p.printStats(proc, "conf_")
	case "rollback":
		next, err := p.start("process 2")
		if err != nil {
			return couldnt, err
		}
		if !p.awaitReady(next, 6*time.Second) {
			return couldnt, fmt.Errorf("not ready")
		}
		for _, l := range links { // so that the next process accepts some
			l.conn.Close()
		}
		time.Sleep(2 * time.Second)
		p.signal(next, syscall.SIGTERM)
		next.awaitEnd(6 * time.Second)
		time.Sleep(2 * time.Second)
	case "upgrade-hup":
		for i := range 3 {
			next, err := p.start(fmt.Sprintf("process %d", i+2))
			if err != nil {
				return couldnt, err
			}
			if !p.awaitReady(next, 6*time.Second) {
				return couldnt, fmt.Errorf("not ready")
			}
			for range 4 {
				p.signal(proc, syscall.SIGHUP)
				p.signal(next, syscall.SIGHUP)
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
			p.signal(proc, syscall.SIGTERM)
			for range 4 {
				p.signal(proc, syscall.SIGHUP)
				p.signal(next, syscall.SIGHUP)
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			}
			if !proc.awaitEnd(3700 * time.Millisecond) {
				p.signal(proc, syscall.SIGKILL)
			}
			proc = next
			time.Sleep(time.Second)
		}
	case "servers":
		for range 8 {
			s := p.servers[rand.IntN(len(p.servers))]
			s.mu.Lock()
			for _, c := range s.conns {
				if rand.IntN(2) == 0 {
					c.conn.(*net.TCPConn).SetLinger(0)
				}
				c.conn.Close()
			}
			s.mu.Unlock()
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
		}
	case "drain":
		for range 3 {
			http.Post("http://"+proc.mgmt+"/ops/drain/start", "", nil)
			p.printf("load     drain")
			time.Sleep(time.Duration(100+rand.IntN(2500)) * time.Millisecond)
			http.Post("http://"+proc.mgmt+"/ops/drain/stop", "", nil)
			p.printf("load     drain ends")
			time.Sleep(time.Second)
		}
	case "restart", "kill":
		for i := range 2 {
			if os.Getenv("DISRUPT") == "kill" {
				p.signal(proc, syscall.SIGKILL)
			} else {
				p.signal(proc, syscall.SIGTERM)
			}
			proc.awaitEnd(6 * time.Second)
			time.Sleep(1500 * time.Millisecond)
			if proc, err = p.start(fmt.Sprintf("process %d", i+2)); err != nil {
				return couldnt, err
			}
			time.Sleep(4 * time.Second)
		}
	default:
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()
	time.Sleep(9 * time.Second)
	bad := 0
	problem := func(format string, args ...any) { bad++; p.printf("PROBLEM  "+format, args...) }
	refused, stood, crossed := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, m := range calls {
		events := f.eventsOf(m.id)
		switch {
		case len(events) == 0 && !m.givenUp && alive(m.link):
			problem("%016x: no answer, not given up", m.id)
		case len(events) == 0 && !alive(m.link) && m.link.endedAt.Sub(m.sentAt) < 50*time.Millisecond: // crosses the close of its connection
			crossed++
		case len(events) == 0:
			problem("%016x: no answer within %v, sent at %.3f on connection %d", m.id, m.left, m.sentAt.Sub(p.began).Seconds(), m.link.number)
		case events[0].kind == 12:
			refused++
			if len(events) > 1 {
				problem("%016x: second answer", m.id)
			}
		default:
			stood++
			if events[0].at.Sub(m.sentAt) > m.left+50*time.Millisecond {
				problem("%016x: late answer", m.id)
			}
		}
		effects := strings.Split(os.Getenv("CLASSES")+",,,", ",")
		var tries []serverCall
		for _, s := range p.servers {
			if call, found := s.call(fmt.Sprintf("%016x", m.id)); found {
				tries = append(tries, call)
				if call.tries > 1 {
					problem("%016x: %d times to %s", m.id, call.tries, s.name)
				}
			}
		}
		slices.SortFunc(tries, func(a, b serverCall) int { return a.arrived.Compare(b.arrived) })
		for i, t := range tries {
			if i+1 < len(tries) && (!t.over || t.endedAt.After(tries[i+1].arrived)) {
				problem("%016x: two attempts out, ended %v after the next came", m.id, t.endedAt.Sub(tries[i+1].arrived))
			}
			if i+1 < len(tries) && !t.never && (effects[m.class] == "single_shot" || effects[m.class] == "guarded" && m.class == 2) {
				problem("%016x: %s, sent again after an attempt that may have run", m.id, effects[m.class])
			}
			if !t.never && effects[m.class] == "single_shot" && len(events) > 0 && events[0].kind == 12 && (events[0].cause == 42 || events[0].cause == 34 || events[0].cause == 102) {
				problem("%016x: refused with cause %d, may have run", m.id, events[0].cause)
			}
		}
		atServers := 0
		for _, s := range p.servers {
			call, found := s.call(fmt.Sprintf("%016x", m.id))
			if !found {
				continue
			}
			atServers++
			switch {
			case len(events) > 0 && events[0].kind == 9 && call.stands && call.endedBy == "server":
				if len(events) == 1 && !m.released && !m.givenUp {
					problem("%016x: ended at %s at %.3f, not released to its caller", m.id, s.name, call.endedAt.Sub(p.began).Seconds())
				} else if len(events) > 1 && events[1].at.Sub(call.endedAt) > 1050*time.Millisecond {
					problem("%016x: released %v after its end", m.id, events[1].at.Sub(call.endedAt))
				}
			case !call.over && call.stands && m.released:
				problem("%016x: released by its caller at %.3f, stands at %s", m.id, m.relAt.Sub(p.began).Seconds(), s.name)
			case !call.over && call.stands && (len(events) == 0 || events[0].kind != 9):
				problem("%016x: stands at %s, its caller has no answer", m.id, s.name)
			case call.stands && call.endedBy == "softswitch" && len(events) == 1 && !m.released && !m.givenUp && events[0].kind == 9:
				problem("%016x: cut by the softswitch at %s at %.3f, caller not told", m.id, s.name, call.endedAt.Sub(p.began).Seconds())
			case !call.over && call.stands && len(events) > 1:
				problem("%016x: stands at %s, released to its caller", m.id, s.name)
			}
		}
	}
	p.printf("load     %d set-ups, %d stood, %d refused, %d crossed a close, %d problems", len(calls), stood, refused, crossed, bad)
	fmt.Println(len(calls), "set-ups", stood, "stood", refused, "refused", bad, "problems")
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}
