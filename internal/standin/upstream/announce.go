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
	announceTimeout       = time.Second
	announceRetryDelay    = 200 * time.Millisecond
	announcementsPerLease = 3
	drainPollInterval     = 100 * time.Millisecond
	agentLostTimeout      = 5 * time.Second
)

// announcement is the body of PUT /v1/upstream.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
}

// Announce sends the upstream's announcement to the agent until ctx ends: at
// every change of state, and several times in each lease.
func (u *Upstream) Announce(ctx context.Context, agent netip.AddrPort) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		interval, err := u.announceOnce(ctx, client, agent)
		if err != nil {
			interval = announceRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-u.changed:
		case <-time.After(interval):
		}
	}
}

// announceOnce returns the time until the next announcement.
func (u *Upstream) announceOnce(ctx context.Context, client *http.Client, agent netip.AddrPort) (time.Duration, error) {
	body, err := json.Marshal(announcement{
		Service: u.opts.Service, Address: u.Address().String(),
		Slots: u.opts.Slots, Connections: u.opts.Connections,
		State: u.capacity.announcedState(time.Now()),
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
	if err := callAgent(client, req, &lease); err != nil {
		return 0, err
	}
	interval := time.Duration(lease.LeaseMillis) * time.Millisecond / announcementsPerLease
	return max(interval, announceRetryDelay), nil
}

// WaitDrained returns once the agent reports the upstream as drained. It also
// returns when the agent has not responded for agentLostTimeout: without its
// agent the upstream receives no requests.
func (u *Upstream) WaitDrained(ctx context.Context, agent netip.AddrPort) error {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	url := "http://" + agent.String() + "/v1/upstream"
	lastResponse := time.Now()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "wait for drain")
		}
		var state struct {
			Drained bool `json:"drained"`
		}
		err = callAgent(client, req, &state)
		if err == nil {
			lastResponse = time.Now()
		}
		if state.Drained || time.Since(lastResponse) > agentLostTimeout {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for drain")
		case <-time.After(drainPollInterval):
		}
	}
}

// callAgent sends the request and decodes the JSON response into out.
func callAgent(client *http.Client, req *http.Request, out any) error {
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call agent")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("call agent: status %d", res.StatusCode)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return errors.Wrap(err, "call agent")
	}
	return nil
}
