package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed its side of a TCP connection, or the connection has ended. Data that the peer sent
// before may still be unread. For other connections PeerClosed returns false.
func PeerClosed(conn net.Conn) bool {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	peerClosed := false
	rawConn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			peerClosed = info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE
		}
	})
	return peerClosed
}
