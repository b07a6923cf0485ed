package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// TestReloadWithoutClassCells guards against set-ups that are sent to a server that their class may not go to: a file without the cells of the
// classes, or with fewer, was applied at SIGHUP, and a class without cells may go to any. The old settings must stay, whole.
func TestReloadWithoutClassCells(t *testing.T) {
	permitted, forbidden := listen(t), listen(t)
	const cells = `"class-cells":[[0]],`
	settings := strings.Replace(testSettings, `"own-number"`, cells+`"own-number"`, 1)
	process := newProgram(t)
	servers := []string{serverEntry("s", "in_service", permitted), strings.Replace(serverEntry("other", "in_service", forbidden), `"group":0`, `"group":1`, 1)}
	process.writeConfig(process.channel, settings, servers...)
	process.launch("")
	peer := acceptServer(t, permitted)
	go wantNoLines(t, forbidden)
	text, err := os.ReadFile(process.config)
	if err != nil {
		t.Fatal(err)
	}
	invalid := 0
	for _, damaged := range []string{"", `"class-cells":[],`, `"class-cells":[[]],`, `"class-cells":null,`} {
		os.WriteFile(process.config, []byte(strings.Replace(string(text), cells, damaged, 1)), 0o600)
		process.cmd.Process.Signal(syscall.SIGHUP)
		process.wantLog("settings.family-info.class-cells")
		invalid++
		process.wantResponse("/ops/stats", 200, fmt.Sprintf("app.conf_loaded=0\napp.conf_invalid=%d\n", invalid))
	}
	caller := dial(t, process.listen)
	caller.sendSetUp(1)
	fmt.Fprintf(peer, `{"op":"end","call":%q,"with":{},"why":34,"note":"swamped"}`+"\n", peer.wantLine(`"offer"`))
	caller.wantCallerMessage(12, 1) // refused: no other server is permitted
}

// wantNoLines accepts connections of the program to a server that must get no set-up, and reports each line.
func wantNoLines(t *testing.T, listener net.Listener) {
	for {
		netConn, err := listener.Accept()
		if err != nil {
			return
		}
		defer netConn.Close()
		go func() {
			line := make([]byte, 100)
			if n, _ := netConn.Read(line); n > 0 {
				t.Errorf("a server that the class may not go to reads %q", line[:n])
			}
		}()
	}
}
