package main

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
)

// callThenSignal makes one call without a body and, if kill is set, kills the process pid as soon
// as the first bytes of the response are there. It returns an error if these are not those of a
// response with 200.
func callThenSignal(method, addr, path string, pid int, kill bool) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	defer syscall.Close(fd)
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 1}); err != nil {
		return err
	}
	if err := syscall.Connect(fd, &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}); err != nil {
		return err
	}
	if _, err := syscall.Write(fd, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", method, path, addr)); err != nil {
		return err
	}
	buf := make([]byte, 4096)
	n, err := syscall.Read(fd, buf)
	if kill {
		syscall.Kill(pid, syscall.SIGKILL)
	}
	if err != nil {
		return err
	}
	if head := string(buf[:n]); !strings.HasPrefix(head, "HTTP/1.1 200") {
		return fmt.Errorf("response %q", head)
	}
	return nil
}
