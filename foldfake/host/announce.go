package host

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"fuchsiafold.example/foldfake/model"
)

// Announcement is the message in which a backend server reports its address, its
// configuration and its load to an entry VM. Epoch increases at each start of the
// server, Seq with each announcement. Of two announcements with the same ID, the
// one with the higher Epoch, or with the higher Seq in the same Epoch, is newer.
type Announcement struct {
	ID                 string   `json:"id"`
	Addr               string   `json:"addr"`
	Kind               string   `json:"kind"`
	Service            string   `json:"service"`
	Model              string   `json:"model,omitempty"`
	Adapters           []string `json:"adapters,omitempty"`
	Version            string   `json:"version,omitempty"`
	Domain             string   `json:"domain"`
	MemoryTokens       int      `json:"memoryTokens,omitempty"`
	ChecksFencingToken bool     `json:"checksFence,omitempty"`
	Epoch              uint64   `json:"epoch"`
	Seq                uint64   `json:"seq"`
	Leaving            bool     `json:"leaving,omitempty"`
	// ColdMillis is the time in milliseconds for which the server stays cold.
	ColdMillis uint64     `json:"coldMillis,omitempty"`
	Load       LoadReport `json:"load"`
	// CacheEvents are changes of the prefix cache. They arrive late and some are
	// missing, as with real engines.
	CacheEvents []CacheEvent `json:"cacheEvents,omitempty"`
}

// CacheEvent reports that a prefix was stored in the prefix cache, or evicted
// from it if Stored is false.
type CacheEvent struct {
	// Prefix is the hexadecimal xxHash64 of the prompt's first 256 bytes.
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

// maxCacheEvents is the maximum number of cache events in one announcement.
// Further events are dropped.
const maxCacheEvents = 64

// cacheEvents returns the cache events that were pending at the last
// announcement, and drops every fourth one to simulate late and lossy events.
// The caller must hold e.mu.
func (e *Engine) cacheEvents() []CacheEvent {
	pending := e.pendingEvents
	e.pendingEvents = e.sim.CacheEvents()
	var out []CacheEvent
	for i, c := range pending {
		if i%4 == 3 || len(out) == maxCacheEvents {
			continue
		}
		out = append(out, CacheEvent{Prefix: c.Prefix, Stored: c.Stored})
	}
	return out
}

// LoadReport is the load report of an Announcement. MemoryUsed is in tokens.
// Preemptions counts since the start of the engine. StepMicros is the duration of
// the last step in microseconds.
type LoadReport struct {
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	MemoryUsed  int   `json:"memoryUsed"`
	Preemptions int   `json:"preemptions"`
	StepMicros  int64 `json:"stepMicros"`
	// LagMS is the age of the report in milliseconds.
	LagMS int64 `json:"lagMs"`
}

// timedLoad is the engine's load at one time.
type timedLoad struct {
	at   time.Time
	load model.Load
}

// announceLoop sends an announcement every Interval until the engine closes, but
// none while the engine is frozen.
func (e *Engine) announceLoop() {
	defer e.loops.Done()
	for {
		e.faults.waitWhileFrozen(e.ctx)
		e.announce()
		if !e.sleep(e.conf.Interval) {
			return
		}
	}
}

// announce sends an announcement to one entry VM. It starts with a different VM
// each time and stops at the first one that accepts the announcement.
func (e *Engine) announce() {
	a := e.newAnnouncement()
	n := len(e.conf.Entries)
	for i := range n {
		addr := e.conf.Entries[(int(a.Seq)+i)%n]
		if Announce(e.ctx, addr.String(), e.conf.BackendToken, a) == nil {
			return
		}
	}
}

// AdvertisedAddr returns the address for an announcement: advertise if it is set, or
// else the server's own.
func AdvertisedAddr(advertise, own netip.AddrPort) string {
	if advertise.IsValid() {
		return advertise.String()
	}
	return own.String()
}

// newAnnouncement returns an announcement with the next sequence number.
func (e *Engine) newAnnouncement() Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	l := e.laggedLoad(time.Now())
	return Announcement{
		ID:                 e.conf.ID,
		Addr:               AdvertisedAddr(e.conf.Advertise, e.server.Addr()),
		Kind:               "engine",
		Service:            e.conf.Service,
		Model:              e.conf.Model,
		Version:            e.conf.Version,
		Domain:             e.conf.Domain,
		MemoryTokens:       e.sim.Params().MemoryTokens,
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

// laggedLoad returns the load as it was about Lag ago, from the loads recorded by
// earlier calls. The caller must hold e.mu.
func (e *Engine) laggedLoad(now time.Time) model.Load {
	e.loadHistory = append(e.loadHistory, timedLoad{now, e.sim.Load()})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= e.conf.Lag {
		e.loadHistory = e.loadHistory[1:]
	}
	return e.loadHistory[0].load
}

// announceTimeout bounds the time for one entry VM to accept an announcement.
const announceTimeout = 500 * time.Millisecond

// Announce sends an announcement to the entry VM at addr. It returns an error
// unless the VM accepts the announcement.
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
		return errAnnouncementRejected
	}
	return nil
}
