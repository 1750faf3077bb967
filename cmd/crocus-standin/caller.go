package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/devcerts"
	"crocusnotch/internal/standin/caller"
)

const reportInterval = 2 * time.Second

type callerSettings struct {
	Service           string         `json:"service" validate:"required,objectname"`
	Address           netip.AddrPort `json:"address" validate:"required,hostport"`
	CA                string         `json:"ca" validate:"required"` // PEM file
	Flows             int            `json:"flows" validate:"min=1,max=10000"`
	RequestsPerSecond float64        `json:"requestsPerSecond" validate:"gt=0,lte=5000"`
	Seconds           float64        `json:"seconds,omitempty" validate:"gte=0"` // 0 means until stopped
	StreamShare       float64        `json:"streamShare,omitempty" validate:"gte=0,lte=1"`
	StreamPath        string         `json:"streamPath,omitempty" validate:"required_with=StreamShare"`
	Kinds             []callerKind   `json:"kinds" validate:"required,min=1,dive"`
	Seed              uint64         `json:"seed,omitempty"`
}

type callerKind struct {
	Path          string  `json:"path" validate:"required,startswith=/"`
	RunAtMostOnce bool    `json:"runAtMostOnce,omitempty"`
	Bytes         int     `json:"bytes" validate:"min=0"`
	Work          float64 `json:"work" validate:"gt=0"`
	TimeoutMillis int     `json:"timeoutMillis" validate:"min=1"`
}

func (k *callerKind) kind() caller.RequestKind {
	return caller.RequestKind{
		Path: k.Path, Idempotent: !k.RunAtMostOnce, Size: k.Bytes, Work: k.Work,
		Timeout: time.Duration(k.TimeoutMillis) * time.Millisecond,
	}
}

func callerStandIn() standIn {
	s := &callerSettings{}
	return standIn{
		name: "caller", help: "callers that keep flows open, send requests and verify the responses", settings: s,
		run: func(ctx context.Context) error { return runCaller(ctx, s) },
	}
}

func runCaller(ctx context.Context, s *callerSettings) error {
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return errors.Wrap(err, "ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("ca: %s has no certificate", s.CA)
	}
	counters := caller.NewCounters()
	p, err := caller.New(caller.Options{
		Service: s.Service, Address: s.Address, Flows: s.Flows,
		TLS:         &tls.Config{RootCAs: pool, ServerName: devcerts.CallerServerName, MinVersion: tls.VersionTLS13},
		StreamShare: s.StreamShare, StreamPath: s.StreamPath, Counters: counters, Seed: s.Seed,
	})
	if err != nil {
		return err
	}
	if s.Seconds > 0 {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(s.Seconds*float64(time.Second)))
		defer cancel()
		ctx = bounded
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.Run(ctx) })
	g.Go(func() error { s.sendRequests(ctx, g, p); return nil })
	g.Go(func() error { return reportTotals(ctx, counters) })
	return g.Wait()
}

// sendRequests sends requests at exponentially distributed intervals and chooses
// their kinds uniformly.
func (s *callerSettings) sendRequests(ctx context.Context, g *errgroup.Group, p *caller.Pool) {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	for {
		wait := rnd.ExpFloat64() / s.RequestsPerSecond
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(wait * float64(time.Second))):
		}
		k := s.Kinds[rnd.IntN(len(s.Kinds))]
		g.Go(func() error { p.Do(ctx, k.kind()); return nil })
	}
}

// reportTotals prints the totals as JSON lines, at each interval and at the end.
func reportTotals(ctx context.Context, counters *caller.Counters) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return printTotals(counters)
		case <-ticker.C:
			if err := printTotals(counters); err != nil {
				return err
			}
		}
	}
}

func printTotals(counters *caller.Counters) error {
	t := counters.Totals()
	if err := json.NewEncoder(os.Stdout).Encode(t); err != nil {
		return errors.Wrap(err, "print totals")
	}
	return nil
}
