// Package lab tests a fleet of softswitches from outside. It starts several processes of the program and simulates
// their environment: stand-in servers, a command channel, callers, and a relay for the datagrams between the
// softswitches. It injects faults by a schedule and checks what it sees against the rules.
//
// The checkers (checker.go, tier_checker.go, maintenance_checker.go), the network conditions, the scenario and its
// plan (scenario.go, scenario_faults.go, plan.go) open no sockets and start no processes, and tests run them without
// either.
package lab
