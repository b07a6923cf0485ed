package config

// socketShares divides the file descriptors of the process among those who connect. Their sum, with reservedSockets, is not more than
// the number of descriptors.
type socketShares struct {
	callers     int // connections of platform callers
	m3uaCallers int // connections of M3UA callers
	servers     int // connections to servers
	mgmt        int // connections to the management interface
}

// Numbers of file descriptors that decide how many callers and servers can be connected.
const (
	// minSockets is the lowest number of file descriptors (limits.sockets in the configuration file) that the softswitch starts with.
	minSockets = 32

	// scarceSocketsBelow is the number of file descriptors below which callers get a smaller share of them, so that
	// enough remain for servers.
	scarceSocketsBelow = 200

	// reservedSockets is the number of file descriptors for the process itself: standard streams, pollers, listeners,
	// the command channel and a dial that is being aborted.
	reservedSockets = 14

	// maxMgmtConns is the largest number of connections to the management interface.
	maxMgmtConns = 16
)

// divideSockets returns the shares of the given number of file descriptors, which is at least minSockets. Well-behaved callers use a third
// of all. With M3UA, its callers get a quarter as many as those of the platform.
func divideSockets(sockets int, m3ua bool) socketShares {
	shares := socketShares{callers: sockets / 2, mgmt: min(maxMgmtConns, sockets/16)}
	if sockets < scarceSocketsBelow {
		shares.callers = sockets * 2 / 5
	}
	if m3ua {
		shares.m3uaCallers = shares.callers / 4
	}
	shares.servers = sockets - shares.callers - shares.m3uaCallers - shares.mgmt - reservedSockets
	return shares
}
