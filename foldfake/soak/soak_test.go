package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// seedsInCI are the seeds that every test run plays, each with its cause if it failed
// once.
var seedsInCI = []struct {
	seed  uint64
	cause string
}{
	{3, "a control VM that was killed soon after it had joined could not open its folder again"},
	{8, "a VM that shuts down reported a resent call as not run; a stream ended as complete between two events"},
	{38, "a control VM whose disk was full at its start ended"},
	{13, "a call was held for the time of its claim, its own and that of settling it"},
}

// buildBinary builds foldd for the soak.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "foldd")
	if out, err := exec.Command("go", "build", "-tags", "soak", "-o", binary, "fuchsiafold.example/foldd").CombinedOutput(); err != nil {
		t.Fatalf("build foldd: %v\n%s", err, out)
	}
	return binary
}

// TestControlVMStartsOnFullDisk guards against a control VM that ends when its disk is full
// at its start. It must serve without its replica, and with it once there is room.
func TestControlVMStartsOnFullDisk(t *testing.T) {
	t.Parallel()
	v, err := newVM("vm1", buildBinary(t), t.TempDir(), true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		v.stop(syscall.SIGKILL)
		v.proxy.Close()
		v.peerProxy.Close()
	})
	addrs := []netip.AddrPort{v.peerProxy.Addr()}
	for _, err := range []error{v.setDiskFault("full"), v.writeSettings(addrs, addrs, true), v.start()} {
		if err != nil {
			t.Fatal(err)
		}
	}
	w := &world{vms: []*vm{v}}
	serves := func(int, *vm) bool {
		_, err := v.status(t.Context())
		return err == nil
	}
	if w.awaitAll(startTimeout, serves) != "" || v.crashed() {
		t.Fatal("the VM does not serve while its disk is full")
	}
	if err := v.setDiskFault(""); err != nil {
		t.Fatal(err)
	}
	o := &operators{world: w}
	accepts := func(int, *vm) bool {
		_, err := o.applyAt(t.Context(), v, 0, change{name: "first"})
		return err == nil
	}
	if w.awaitAll(startTimeout, accepts) != "" {
		t.Error("the VM accepts no configuration once there is room")
	}
}

// TestVMInheritsNoDescriptors guards against VMs that hold descriptors of the soak itself, and
// seem to hold more after the load than before.
func TestVMInheritsNoDescriptors(t *testing.T) {
	fd, err := syscall.EpollCreate1(0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := closeOnExec(); err != nil {
		t.Fatal(err)
	}
	child := exec.Command("readlink", fmt.Sprint("/proc/self/fd/", fd))
	if out, err := child.Output(); err == nil {
		t.Errorf("a started process holds %s", out)
	}
}

// TestSoak plays a few short seeds on real processes.
func TestSoak(t *testing.T) {
	t.Parallel()
	binary := buildBinary(t)
	for _, s := range seedsInCI {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("failed once: %s", s.cause)
			rep, err := Run(context.Background(), Options{Binary: binary, Folder: t.TempDir()}, s.seed)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range rep.Violations {
				t.Errorf("%s at %v, request %q: %s", v.Promise, v.At, v.Request, v.Detail)
			}
			// A check that applies to nothing finds nothing.
			for _, kind := range []string{"orders.acknowledged", "orders.requestsWhileEvacuated", "orders.statusOfKnownOrder", "requestsWhileCold", askNote + "." + outcomeResumed} {
				if rep.Counts[kind] == 0 {
					t.Errorf("%s: none", kind)
				}
			}
			t.Logf("%d faults, %d changes, requests %v", len(rep.Faults), rep.Changes, rep.Counts)
		})
	}
}
