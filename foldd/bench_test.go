package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/netio/serve"
)

// timestampEngine is a stand-in engine whose tokens are the times at which they are
// sent, in nanoseconds. It sends the first token at once and the others at fixed
// intervals, with a random phase for each stream.
type timestampEngine struct {
	server   *serve.Server
	interval time.Duration
	tokens   int
}

func startTimestampEngine(b *testing.B, interval time.Duration, tokens int) *timestampEngine {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &timestampEngine{interval: interval, tokens: tokens}
	s, err := serve.New(serve.Config{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Handler: m, MaxBody: 1 << 20, WriteTimeout: time.Minute, Log: log})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { s.Close() })
	m.server = s
	return m
}

func (m *timestampEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher).Flush
	flush()
	t := time.NewTicker(m.interval)
	defer t.Stop()
	for i := 1; i <= m.tokens; i++ {
		switch i {
		case 1:
		case 2:
			time.Sleep(rand.N(m.interval))
			t.Reset(m.interval)
		default:
			select {
			case <-t.C:
			case <-r.Context().Done():
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"%d \"}]}\n\n", i, time.Now().UnixNano())
		flush()
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", m.tokens)
	flush()
}

// announce announces the engine to the VM every second until the benchmark ends.
func (m *timestampEngine) announce(b *testing.B, v *vm) {
	b.Helper()
	a := host.Announcement{ID: "m", Addr: m.server.Addr().String(), Kind: "engine", Service: "models", Model: "m", Domain: "domain-" + v.id, MemoryTokens: 1 << 30, Epoch: 1}
	stop := make(chan struct{})
	b.Cleanup(func() { close(stop) })
	go func() {
		for seq := uint64(1); ; seq++ {
			a.Seq = seq
			host.Announce(context.Background(), v.backends, "", a)
			select {
			case <-time.After(time.Second):
			case <-stop:
				return
			}
		}
	}()
}

// startBenchVM starts a foldd process with a configuration for benchmarks.
func startBenchVM(b *testing.B) *vm {
	b.Helper()
	v := startVMs(b, 1)[0]
	doc := fmt.Appendf(nil, `{
		"policy": "naive",
		"classes": [{"name": "stream", "target": {"firstToken": "1h", "tokenGap": "1h"}}],
		"services": [{"name": "models", "kind": "engine", "models": ["m"]}],
		"workspaces": [{"name": "w", "keySHA256": %q}],
	}`, benchKeyHash)
	v.applyDocument(0, "bench", doc)
	return v
}

// readTokens reads an answer of a timestampEngine and calls f with the time from
// the sending of each token to its arrival.
func readTokens(res *http.Response, f func(delay time.Duration)) {
	sc := bufio.NewScanner(res.Body)
	for sc.Scan() {
		_, rest, ok := strings.Cut(sc.Text(), `"text":"`)
		if !ok {
			continue
		}
		timestamp, _, _ := strings.Cut(rest, " ")
		n, err := strconv.ParseInt(timestamp, 10, 64)
		if err == nil {
			f(time.Duration(time.Now().UnixNano() - n))
		}
	}
}

// newPooledClient returns a client with small buffers and without a limit on its
// connections.
func newPooledClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10, DialContext: (&net.Dialer{}).DialContext}}
}

// post sends a completion request to the entry VM or engine at addr.
func post(c *http.Client, addr string) (*http.Response, error) {
	body := []byte(`{"request_id":"x","model":"m","prompt":"p","stream":true,"class":"stream"}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer k")
	return c.Do(req)
}

// measureDelays runs the given number of streams at once. It returns the sorted
// delays of the tokens and of the response headers. It leaves out the first token
// of each stream, which is late because all streams start together.
func measureDelays(b *testing.B, addr string, streams int) (tokenDelays, headerDelays []time.Duration) {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	c := newPooledClient()
	for range streams {
		wg.Go(func() {
			start := time.Now()
			res, err := post(c, addr)
			if err != nil || res.StatusCode != http.StatusOK {
				b.Error("stream: ", err)
				return
			}
			defer res.Body.Close()
			header := time.Since(start)
			var streamDelays []time.Duration
			readTokens(res, func(d time.Duration) { streamDelays = append(streamDelays, d) })
			mu.Lock()
			defer mu.Unlock()
			tokenDelays = append(tokenDelays, streamDelays[min(1, len(streamDelays)):]...)
			headerDelays = append(headerDelays, header)
		})
	}
	wg.Wait()
	slices.Sort(tokenDelays)
	slices.Sort(headerDelays)
	return tokenDelays, headerDelays
}

// percentileOf returns a percentile of sorted delays, or 0 if there are none.
func percentileOf(sorted []time.Duration, percentile int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percentile/100]
}

// BenchmarkAddedPerToken compares the delay of tokens through an entry VM with
// their delay on a direct connection to the same engine, in the same run.
func BenchmarkAddedPerToken(b *testing.B) {
	const tokens = 100
	for _, streams := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) {
			m := startTimestampEngine(b, 30*time.Millisecond, tokens)
			v := startBenchVM(b)
			m.announce(b, v)
			waitFor(b, "the engine to be known", func() bool { return len(v.status().GetBackends()) == 1 })
			for range b.N {
				direct, directHeader := measureDelays(b, m.server.Addr().String(), streams)
				through, throughHeader := measureDelays(b, v.callers, streams)
				report := func(name string, d time.Duration) { b.ReportMetric(float64(d.Microseconds()), name) }
				report("direct-p99-us", percentileOf(direct, 99))
				report("through-p99-us", percentileOf(through, 99))
				report("added-p50-us", percentileOf(through, 50)-percentileOf(direct, 50))
				report("added-p99-us", percentileOf(through, 99)-percentileOf(direct, 99))
				report("added-first-p50-us", percentileOf(throughHeader, 50)-percentileOf(directHeader, 50))
			}
		})
	}
}

// residentBytes returns the resident set size of a process in bytes.
func residentBytes(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		b.Fatal(err)
	}
	return float64(pages * os.Getpagesize())
}

// cpuSeconds returns the user and system CPU time that a process has used.
func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	user, err1 := strconv.ParseFloat(f[11], 64)
	system, err2 := strconv.ParseFloat(f[12], 64)
	if err1 != nil || err2 != nil {
		b.Fatal(err1, err2)
	}
	const ticksPerSecond = 100
	return (user + system) / ticksPerSecond
}

// BenchmarkOpenStreams keeps streams open on an entry VM, with one token every 1.5
// seconds each. It reports the memory and the CPU time of the VM's process.
func BenchmarkOpenStreams(b *testing.B) {
	for _, streams := range []int{1000, 4000, 9000} {
		b.Run(fmt.Sprint("streams=", streams), func(b *testing.B) {
			for range b.N {
				measureOpenStreams(b, streams)
			}
		})
	}
}

// measureOpenStreams opens the given number of streams, and reports the metrics of
// BenchmarkOpenStreams once all are open.
func measureOpenStreams(b *testing.B, streams int) {
	b.Helper()
	m := startTimestampEngine(b, 1500*time.Millisecond, 1000)
	v := startBenchVM(b)
	m.announce(b, v)
	waitFor(b, "the engine to be known", func() bool { return len(v.status().GetBackends()) == 1 })
	pid := v.process.Process.Pid
	before := residentBytes(b, pid)
	var open, received atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	openSlots := make(chan struct{}, 64)
	c := newPooledClient()
	for range streams {
		wg.Go(func() {
			openSlots <- struct{}{}
			res, err := post(c, v.callers)
			<-openSlots
			if err != nil || res.StatusCode != http.StatusOK {
				b.Error("stream: ", err)
				return
			}
			open.Add(1)
			go func() {
				<-stop
				res.Body.Close()
			}()
			readTokens(res, func(time.Duration) { received.Add(1) })
		})
	}
	waitFor(b, "all streams to be open", func() bool { return open.Load() == int64(streams) })
	tokens, cpu := received.Load(), cpuSeconds(b, pid)
	const measurePeriod = 8 * time.Second
	time.Sleep(measurePeriod)
	tokens, cpu = received.Load()-tokens, cpuSeconds(b, pid)-cpu
	after := residentBytes(b, pid)
	close(stop)
	wg.Wait()
	b.ReportMetric(after/(1<<20), "MiB")
	b.ReportMetric((after-before)/float64(streams), "B/stream")
	b.ReportMetric(cpu/measurePeriod.Seconds()*100, "%core")
	if tokens > 0 {
		b.ReportMetric(cpu/float64(tokens)*1e6, "us/token")
	}
}

// benchKeyHash is the SHA-256 of the workspace key "k".
const benchKeyHash = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"

// applyDocument sends a configuration document until the VM accepts it.
func (v *vm) applyDocument(base uint64, change string, doc []byte) {
	v.t.Helper()
	waitFor(v.t, "change "+change, func() bool {
		_, err := v.sendDocument(base, change, doc)
		return err == nil
	})
}
