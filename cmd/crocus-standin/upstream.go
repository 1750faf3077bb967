package main

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/standin/upstream"
)

type upstreamSettings struct {
	Name         string         `json:"name" validate:"required"`
	Service      string         `json:"service" validate:"required,objectname"`
	Address      netip.AddrPort `json:"address" validate:"required,hostport"`
	Agent        netip.AddrPort `json:"agent" validate:"required,hostport"` // the agent's address for announcements
	Slots        int            `json:"slots" validate:"min=1"`
	Connections  int            `json:"connections" validate:"min=1"`
	Speed        float64        `json:"speed" validate:"gt=0"`
	WorkMillis   float64        `json:"workMillis" validate:"gt=0"`
	ColdShare    float64        `json:"coldShare" validate:"gt=0,lte=1"`
	WarmUpMillis int            `json:"warmUpMillis" validate:"min=1"`
	StartCold    bool           `json:"startCold,omitempty"`
	Seed         uint64         `json:"seed,omitempty"`
}

func upstreamStandIn() standIn {
	s := &upstreamSettings{}
	return standIn{
		name: "upstream", help: "an upstream that registers with its agent; SIGTERM drains it", settings: s,
		run: func(ctx context.Context) error { return runUpstream(ctx, s) },
	}
}

func (s *upstreamSettings) options() upstream.Options {
	return upstream.Options{
		Name: s.Name, Service: s.Service, Address: s.Address, Slots: s.Slots, Connections: s.Connections,
		Speed: s.Speed, Work: time.Duration(s.WorkMillis * float64(time.Millisecond)),
		Cold:      upstream.ColdStart{InitialShare: s.ColdShare, WarmUp: time.Duration(s.WarmUpMillis) * time.Millisecond},
		StartCold: s.StartCold, Seed: s.Seed,
	}
}

// runUpstream serves until ctx ends, then announces that it leaves and keeps
// serving until WaitDrained returns.
func runUpstream(ctx context.Context, s *upstreamSettings) error {
	u, err := upstream.New(s.options())
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return u.Run(serving) })
	g.Go(func() error { u.Announce(serving, s.Agent); return nil })
	g.Go(func() error {
		<-ctx.Done()
		u.Leave()
		defer stop()
		return u.WaitDrained(serving, s.Agent)
	})
	return g.Wait()
}
