package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Figures of the site's booking-app, and its contact_ms.
const (
	bookingSlots = 6
	bookingWork  = 60 * time.Millisecond
	contactTime  = 3 * time.Second
)

// route and document are the operator's configuration as the pages describe it.
type route struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"path_prefix"`
	Kind      string   `json:"kind"`
	TimeoutMS int      `json:"timeout_ms"`
	TargetMS  int      `json:"slo_ms"`
	Priority  int      `json:"priority"`
	Service   string   `json:"service,omitempty"`
	Backends  []weight `json:"backends,omitempty"`
	Attempts  int      `json:"attempts"`
	Public    bool     `json:"public"`
	Sticky    bool     `json:"sticky"`
	CanResume bool     `json:"can_resume"`
	GapMS     int      `json:"gap_target_ms,omitempty"`
}

type weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"health_path"`
	MaxConns   int            `json:"max_conns"`
	Protocol   string         `json:"protocol"`
	TLS        bool           `json:"tls"`
	Engine     map[string]any `json:"engine,omitempty"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

type document struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

func defaultLimits() map[string]int {
	return map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// put sends one configuration to one VM and returns the status, zero for no answer.
func put(v *vm, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+v.operators()+"/api/config", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, 4<<10))
	return res.StatusCode, string(text)
}

// configure sends a configuration to one VM after another until it is acknowledged.
func (c *cluster) configure(d document, timeout time.Duration) error {
	body, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		v := c.vms[i%len(c.vms)]
		status, text := put(v, body, time.Second)
		if status == http.StatusOK {
			c.rec.line("config acknowledged", "version", d.Version, "by", v.id)
			return nil
		}
		c.rec.line("config not acknowledged", "version", d.Version, "by", v.id, "status", status, "text", text)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: configuration %d was not acknowledged", errSetup, d.Version)
}

// llmService is the model service of the site, as its operator configures it.
func llmService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConns: 272, Protocol: "h1", Engine: map[string]any{
		"slots": 24, "kv_capacity": 34314, "kv_token_bytes": 131072, "link_mbps": 19000.0, "moves": true, "backups": true, "stride": 4,
		"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
	}}
}
