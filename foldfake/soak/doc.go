// Package soak runs real foldd processes on loopback under random faults, and checks
// what callers, operators and backend servers see.
//
// A run is determined by its seed: a plan of faults, of which many overlap. The
// processes are signalled, killed, wiped and started again; loopback proxies delay,
// reset and silence connections; stand-ins of backend servers crash and leave;
// operators apply configurations and evacuate failure domains. Callers go on using
// their connections all the while, and come back for the rest of streams.
package soak
