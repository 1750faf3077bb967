package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// sampleBusy records the busy slots periodically, so that /load and /health
// report them with a delay of LoadLag.
func (u *Upstream) sampleBusy(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			busy, _ := u.Busy()
			u.recordBusy(busy)
		}
	}
}

func (u *Upstream) recordBusy(busy int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recentBusy = append(u.recentBusy, busy)
	size := int(u.opts.LoadLag/sampleInterval) + 1
	if len(u.recentBusy) > size {
		u.recentBusy = u.recentBusy[len(u.recentBusy)-size:]
	}
}

// reportedBusy returns the number of busy slots that /load and /health report.
func (u *Upstream) reportedBusy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.opts.ReportZeroLoad || len(u.recentBusy) == 0 {
		return 0
	}
	return u.recentBusy[0]
}

func (u *Upstream) handleLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Busy  int `json:"busy"`
		Slots int `json:"slots"`
	}{u.reportedBusy(), u.opts.Slots})
}

func (u *Upstream) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if u.reportedBusy() >= u.opts.Slots {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
