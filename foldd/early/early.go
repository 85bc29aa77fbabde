//go:build cgo

// Package early makes a process that serves ignore SIGHUP before the Go runtime starts,
// until the first call of signal.Notify for it. By default, the signal ends a process that
// has no handler yet. Importing the package is enough.
package early

// #include <signal.h>
// #include <string.h>
//
// // glibc passes the arguments of the program to constructors.
// __attribute__((constructor)) static void ignoreHangup(int argc, char **argv) {
// 	if (argc > 1 && strcmp(argv[1], "serve") == 0) {
// 		signal(SIGHUP, SIG_IGN);
// 	}
// }
import "C"
