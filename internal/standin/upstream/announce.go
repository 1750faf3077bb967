package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// States that an upstream announces.
const (
	stateCold    = "cold"
	stateWarm    = "warm"
	stateLeaving = "leaving"
)

const (
	announceTimeout = time.Second
	announceRetry   = 200 * time.Millisecond
	leaseParts      = 3 // an announcement is repeated each third of its lease
	drainPoll       = 100 * time.Millisecond
	lostAgent       = 5 * time.Second
)

// announcement is the body of PUT /v1/upstream.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
}

// Announce tells the agent of the upstream until ctx ends.
func (u *Upstream) Announce(ctx context.Context, agent netip.AddrPort) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause, err := u.announceOnce(ctx, client, agent)
		if err != nil {
			pause = announceRetry
		}
		select {
		case <-ctx.Done():
		case <-u.changed:
		case <-time.After(pause):
		}
	}
}

func (u *Upstream) announceOnce(ctx context.Context, client *http.Client, agent netip.AddrPort) (time.Duration, error) {
	body, err := json.Marshal(announcement{
		Service: u.o.Service, Address: u.Address().String(),
		Slots: u.o.Slots, Connections: u.o.Connections,
		State: u.capacity.announced(time.Now()),
	})
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	url := "http://" + agent.String() + "/v1/upstream"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "announce")
	}
	req.Header.Set("Content-Type", "application/json")
	var lease struct {
		LeaseMillis int `json:"leaseMillis"`
	}
	if err := call(client, req, &lease); err != nil {
		return 0, err
	}
	pause := time.Duration(lease.LeaseMillis) * time.Millisecond / leaseParts
	return max(pause, announceRetry), nil
}

// WaitDrained returns once the agent says that nothing of the upstream's work
// is left, or once no agent has answered for lostAgent, since then nobody
// brings it work.
func (u *Upstream) WaitDrained(ctx context.Context, agent netip.AddrPort) error {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	url := "http://" + agent.String() + "/v1/upstream"
	answered := time.Now()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "wait for drain")
		}
		var state struct {
			Drained bool `json:"drained"`
		}
		err = call(client, req, &state)
		if err == nil {
			answered = time.Now()
		}
		if state.Drained || time.Since(answered) > lostAgent {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for drain")
		case <-time.After(drainPoll):
		}
	}
}

func call(client *http.Client, req *http.Request, into any) error {
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask agent")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("ask agent: status %d", res.StatusCode)
	}
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return errors.Wrap(err, "ask agent")
	}
	return nil
}
