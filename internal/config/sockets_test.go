package config

import "testing"

// TestDescriptorsOverLimit guards against shares of the descriptors that are more than the limit together.
func TestDescriptorsOverLimit(t *testing.T) {
	for sockets := minSockets; sockets <= 5000; sockets++ {
		for _, m3ua := range []bool{false, true} {
			shares := divideSockets(sockets, m3ua)
			if sum := shares.callers + shares.m3uaCallers + shares.servers + shares.mgmt + reservedSockets; sum > sockets {
				t.Fatalf("%d descriptors of %d in use: %+v", sum, sockets, shares)
			}
			if shares.callers < sockets/3 || shares.servers < 1 || shares.mgmt < 1 || m3ua && shares.m3uaCallers < 1 {
				t.Fatalf("%d descriptors: %+v", sockets, shares)
			}
		}
	}
}
