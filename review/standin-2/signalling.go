package main

import (
	"fmt"
	"os"
	"strings"
)

// m3Entry is an M3UA server in the signalling file.
type m3Entry struct {
	name, address string
	pointCode     uint32
	cell          int
}

// bgpEntry is the BGP part of the signalling file.
type bgpEntry struct{ service, peer string }

// writeSignalling writes a signalling file with the values of deploy/m3ua.toml, but for the addresses.
func writeSignalling(path, listen string, pointCode uint32, servers []m3Entry, bgp *bgpEntry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "enabled = true\n\n[m3ua]\nlisten = %q\npoint_code = %d\nnetwork_indicator = %d\nrouting_context = %d\nheartbeat_ms = 5000\ncircuits = 4096\n\n",
		listen, pointCode, networkIndicator, routingContextID)
	b.WriteString("[m3ua.categories]\nstatus-check = 10\nactivate = 11\nprofile-read = 12\n\n[m3ua.cells]\n100 = 0\n\n")
	for _, s := range servers {
		fmt.Fprintf(&b, "[[m3ua.server]]\nname = %q\naddress = %q\npoint_code = %d\ncell = %d\n\n", s.name, s.address, s.pointCode, s.cell)
	}
	b.WriteString("[bgp]\nas = 64512\nrouter_id = \"127.0.0.1\"\nnext_hop = \"127.0.0.1\"\nhold_s = 9\n")
	if bgp == nil {
		b.WriteString("service = \"127.0.0.1/32\"\n")
	} else {
		fmt.Fprintf(&b, "service = %q\n\n[[bgp.peer]]\naddress = %q\nas = 64513\n", bgp.service, bgp.peer)
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// softswitchPC is the point code of the first softswitch; others have the next ones.
const softswitchPC = 100
