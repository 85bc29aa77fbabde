package host

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"fuchsiafold.example/foldfake/model"
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	ID                 string     `json:"id"`
	Addr               string     `json:"addr"`
	Kind               string     `json:"kind"`
	Service            string     `json:"service"`
	Model              string     `json:"model,omitempty"`
	Adapters           []string   `json:"adapters,omitempty"`
	Version            string     `json:"version,omitempty"`
	Domain             string     `json:"domain"`
	MemoryTokens       int        `json:"memoryTokens,omitempty"`
	ChecksFencingToken bool       `json:"checksFence,omitempty"`
	Epoch              uint64     `json:"epoch"`
	Seq                uint64     `json:"seq"`
	Leaving            bool       `json:"leaving,omitempty"`
	Load               LoadReport `json:"load"`
	// CacheEvents are changes of the prefix cache, late and with gaps.
	CacheEvents []CacheEvent `json:"cacheEvents,omitempty"`
}

// CacheEvent tells that a prefix entered or left the cache.
type CacheEvent struct {
	// Prefix is the xxHash64 of the prompt's first 256 bytes, in hexadecimal.
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

// maxCacheEvents bounds the events in one announcement; the rest is lost.
const maxCacheEvents = 64

// cacheEvents returns the events that were there at the last announcement,
// without each fourth one. The caller holds the lock.
func (e *Engine) cacheEvents() []CacheEvent {
	late := e.lateEvents
	e.lateEvents = e.model.CacheEvents()
	var out []CacheEvent
	for i, c := range late {
		if i%4 == 3 || len(out) == maxCacheEvents {
			continue
		}
		out = append(out, CacheEvent{Prefix: c.Prefix, Stored: c.Stored})
	}
	return out
}

// LoadReport is the load in an Announcement.
type LoadReport struct {
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	MemoryUsed  int   `json:"memoryUsed"`
	Preemptions int   `json:"preemptions"`
	StepMicros  int64 `json:"stepMicros"`
	// LagMS is the age of the report in milliseconds.
	LagMS int64 `json:"lagMs"`
}

type timedLoad struct {
	at   time.Time
	load model.Load
}

// announcements tells one entry VM after the other about the engine.
func (e *Engine) announcements() {
	defer e.done.Done()
	for {
		e.faults.wait(e.ctx)
		e.announce()
		if !e.sleep(e.conf.Interval) {
			return
		}
	}
}

// announce tells the first entry VM that takes it.
func (e *Engine) announce() {
	a := e.announcement()
	n := len(e.conf.Entries)
	for i := range n {
		addr := e.conf.Entries[(int(a.Seq)+i)%n]
		if Announce(e.ctx, addr.String(), e.conf.BackendToken, a) == nil {
			return
		}
	}
}

func (e *Engine) announcement() Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	l := e.laggedLoad(time.Now())
	return Announcement{
		ID:                 e.conf.ID,
		Addr:               e.server.Addr().String(),
		Kind:               "engine",
		Service:            e.conf.Service,
		Model:              e.conf.Model,
		Version:            e.conf.Version,
		Domain:             e.conf.Domain,
		MemoryTokens:       e.model.Params().MemoryTokens,
		ChecksFencingToken: e.conf.ChecksFencingToken,
		Epoch:              e.epoch,
		Seq:                e.seq,
		Leaving:            e.leaving,
		CacheEvents:        e.cacheEvents(),
		Load: LoadReport{
			Running:     l.Running,
			Waiting:     l.Waiting,
			MemoryUsed:  l.MemoryUsed,
			Preemptions: l.Preemptions,
			StepMicros:  l.Step.Microseconds(),
			LagMS:       e.conf.Lag.Milliseconds(),
		},
	}
}

// laggedLoad returns the load as it was Lag ago. The caller holds the lock.
func (e *Engine) laggedLoad(now time.Time) model.Load {
	e.history = append(e.history, timedLoad{now, e.model.Load()})
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.conf.Lag {
		e.history = e.history[1:]
	}
	return e.history[0].load
}

const announceTimeout = 500 * time.Millisecond

// Announce sends an announcement to one entry VM.
func Announce(ctx context.Context, addr, token string, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errAnnounce
	}
	return nil
}
