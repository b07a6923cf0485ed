package lab

import "net"

// freePort returns an address with a port that is free on a host now, for a program that will listen there itself.
// Another program can take the port first.
func freePort(network, host string) (string, error) {
	switch network {
	case "udp":
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// listenOnEachHost opens a TCP listener on a free port of each host, one host for each softswitch. If one
// fails, none stays open.
func listenOnEachHost(hosts []string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, host := range hosts {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
