package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// retune sends SIGHUP with a configuration that lacks one key. It has to change nothing: calls of the class "activate" may go to the pool
// of s1 only, before and after.
func retune(p *play) (int, error) {
	if err := p.addServers(2); err != nil {
		return couldnt, err
	}
	p.classCells = "[[0,1],[0],[0,1]]"
	first, f, link, err := p.startServing()
	if err != nil {
		return couldnt, err
	}
	id, err := link.setUp("activate", "7f3a9c21e0b4d655", 3*time.Second)
	if err != nil || !f.await(id, 1, 3*time.Second) || f.eventsOf(id)[0].kind != 9 || p.serverOf(id) != p.servers[0] {
		return couldnt, fmt.Errorf("the first call was not established at s1: %v", err)
	}
	link.release(id, 16)
	if p.trouble {
		path := p.tempDir + "/config.json"
		text, err := os.ReadFile(path)
		if err != nil {
			return couldnt, err
		}
		var config map[string]any
		if err := json.Unmarshal(text, &config); err != nil {
			return couldnt, err
		}
		delete(config["settings"].(map[string]any)["family-info"].(map[string]any), "class-cells")
		if text, err = json.MarshalIndent(config, "", " "); err != nil {
			return couldnt, err
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return couldnt, err
		}
		p.printf("run      the configuration now lacks the key settings.family-info.class-cells")
		p.signal(first, syscall.SIGHUP)
	}
	time.Sleep(1500 * time.Millisecond)
	p.printStats(first, "conf_")
	// An ordinary busy hour: the processor of s1 turns some set-ups away.
	p.servers[0].mu.Lock()
	arrived := 0
	p.servers[0].fault = func(*serverCall) string {
		if arrived++; arrived%2 == 1 {
			return "swamped"
		}
		return ""
	}
	p.servers[0].mu.Unlock()
	var ids []uint64
	for range 20 {
		id, err := link.setUp("activate", "7f3a9c21e0b4d656", 3*time.Second)
		if err != nil {
			return couldnt, err
		}
		ids = append(ids, id)
		f.await(id, 1, 3*time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	wrong, right := 0, 0
	for _, id := range ids {
		if _, found := p.servers[0].call(fmt.Sprintf("%016x", id)); found {
			right++
		}
		if _, found := p.servers[1].call(fmt.Sprintf("%016x", id)); found {
			wrong++
		}
	}
	p.printf("play     of %d set-ups of the class, %d were sent to s1, which it may go to, and %d to s2, which it may not go to", len(ids), right, wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// printStats writes those statistics of a process into the record whose names contain a text.
func (p *play) printStats(proc *process, part string) {
	response, err := http.Get("http://" + proc.mgmt + "/ops/stats")
	if err != nil {
		return
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, part) {
			p.printf("stats    %s", line)
		}
	}
}
