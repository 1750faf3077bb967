package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// sample keeps the past load, from which /load and /health answer late.
func (u *Upstream) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			busy, _ := u.Busy()
			u.keep(busy)
		}
	}
}

func (u *Upstream) keep(busy int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.past = append(u.past, busy)
	size := int(u.o.LoadLag/sampleInterval) + 1
	if len(u.past) > size {
		u.past = u.past[len(u.past)-size:]
	}
}

// told is the load that the pages tell.
func (u *Upstream) told() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.o.ReportZeroLoad || len(u.past) == 0 {
		return 0
	}
	return u.past[0]
}

func (u *Upstream) handleLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Busy  int `json:"busy"`
		Slots int `json:"slots"`
	}{u.told(), u.o.Slots})
}

func (u *Upstream) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if u.told() >= u.o.Slots {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
