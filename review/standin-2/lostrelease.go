package main

import (
	"os"
	"path/filepath"
	"time"
)

// m3ClientWorld is a softswitch with one server of the platform's protocol and one older client behind a proxy.
type m3ClientWorld struct {
	server *server
	path   *proxy
	client *m3Client
}

// newM3ClientWorld starts the stand-ins and the softswitch, and waits for the client's association.
func newM3ClientWorld(w *world, delay, hold time.Duration) (*m3ClientWorld, error) {
	configPath, signalling, tmpDir := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "m3ua.toml"), filepath.Join(w.dir, "tmp")
	if err := os.Mkdir(tmpDir, 0o700); err != nil {
		return nil, err
	}
	channel, listen, m3Listen, proxyAddress, serverAddress := freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1")
	if err := startChannel(channel); err != nil {
		return nil, err
	}
	m := &m3ClientWorld{}
	var err error
	if m.server, err = startServer("s1", serverAddress, 0, delay, hold, 500*time.Millisecond); err != nil {
		return nil, err
	}
	if err := writeSignalling(signalling, m3Listen, nil, nil); err != nil {
		return nil, err
	}
	if err := (config{name: "n1", listen: listen, channel: channel, endpoints: []endpoint{inService("s1", serverAddress, 0)}, cells: []int{0}}).write(configPath); err != nil {
		return nil, err
	}
	p, err := w.start("n1", configPath, tmpDir, freeAddress("127.0.0.1"), signalling, "")
	if err != nil {
		return nil, err
	}
	if err := p.waitReady(10 * time.Second); err != nil {
		return nil, err
	}
	if m.path, err = startProxy(proxyAddress, m3Listen); err != nil {
		return nil, err
	}
	m.client = startM3Client("client", proxyAddress, 300)
	return m, waitFor(5*time.Second, m.client.active)
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// lostRelease: a call of an older client stands, its association falls silent and is then reset, and the server releases the call in between.
func lostRelease(w *world, trouble bool) (verdict, error) {
	const hold, silentAfter, silence = 4 * time.Second, 3 * time.Second, 3 * time.Second
	m, err := newM3ClientWorld(w, 20*time.Millisecond, hold)
	if err != nil {
		return notRun, err
	}
	s, path, client := m.server, m.path, m.client
	if err := client.setUp(1, 0xc1); err != nil {
		return notRun, err
	}
	if err := waitFor(3*time.Second, func() bool { return !client.get(1).answeredAt.IsZero() }); err != nil {
		return notRun, err
	}
	if trouble {
		time.Sleep(silentAfter)
		path.fallSilent()
		time.Sleep(silence)
		path.reset()
	}
	var endedAt time.Time
	for endedAt.IsZero() {
		s.mu.Lock()
		for _, call := range s.calls {
			endedAt = call.endedAt
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	bound := releaseBound
	if trouble { // no release could be sent while the association was silent
		bound = lostReleaseBound
	}
	for time.Now().Before(endedAt.Add(bound+100*time.Millisecond)) && client.get(1).releasedAt.IsZero() {
		time.Sleep(10 * time.Millisecond)
	}
	released := client.get(1).releasedAt
	if released.IsZero() || released.After(endedAt.Add(bound)) {
		log.add("check", "the call is over since %v, and its client has no release; its association is active: %v", time.Since(endedAt), client.active())
		return broken, nil
	}
	log.add("check", "released towards its client %v after its end", released.Sub(endedAt))
	return held, nil
}

// resetSetUp: a call of an older client is being set up, its association is reset, and the client connects again.
func resetSetUp(w *world, trouble bool) (verdict, error) {
	const answerAfter, resetAfter, giveUp = time.Second, 300 * time.Millisecond, 9 * time.Second
	m, err := newM3ClientWorld(w, answerAfter, 30*time.Second)
	if err != nil {
		return notRun, err
	}
	if err := m.client.setUp(1, 0xc1); err != nil {
		return notRun, err
	}
	if trouble {
		time.Sleep(resetAfter)
		m.path.reset()
	}
	answered := func() bool { call := m.client.get(1); return !call.answeredAt.IsZero() || !call.releasedAt.IsZero() }
	if waitFor(giveUp+50*time.Millisecond, answered) != nil {
		log.add("check", "the call has no final answer %v after its set-up; its client waits on, its association is active: %v", time.Since(m.client.get(1).sentAt), m.client.active())
		return broken, nil
	}
	log.add("check", "the call has its final answer")
	return held, nil
}
