package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/standin/fabric"
	"crocusnotch/internal/standin/store"
)

const (
	readHeaderTimeout = 5 * time.Second
	healthInterval    = 500 * time.Millisecond
	healthTimeout     = 400 * time.Millisecond
)

type storeSettings struct {
	Address netip.AddrPort `json:"address" validate:"required,hostport"`
}

func storeStandIn() standIn {
	s := &storeSettings{}
	return standIn{
		name: "store", help: "the platform's object API, initially empty", settings: s,
		run: func(ctx context.Context) error { return serveStore(ctx, s) },
	}
}

func serveStore(ctx context.Context, s *storeSettings) error {
	l, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return errors.Wrap(err, "store")
	}
	server := &http.Server{Handler: store.New(store.Options{}), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "store")
	}
	return nil
}

type fabricSettings struct {
	Return      netip.AddrPort   `json:"return" validate:"required,hostport"`
	Services    []netip.AddrPort `json:"services" validate:"required,min=1,dive,hostport"`
	Entries     []fabricEntry    `json:"entries" validate:"required,min=1,dive"`
	Loss        float64          `json:"loss,omitempty" validate:"gte=0,lt=1"`
	Reorder     float64          `json:"reorder,omitempty" validate:"gte=0,lt=1"`
	DelayMicros int              `json:"delayMicros,omitempty" validate:"min=0,max=1000000"`
	Seed        uint64           `json:"seed,omitempty"`
}

type fabricEntry struct {
	Address netip.AddrPort `json:"address" validate:"required,hostport"`
	// Health is the URL of the entry's health endpoint.
	Health string `json:"health" validate:"required,url"`
}

func fabricStandIn() standIn {
	s := &fabricSettings{}
	return standIn{
		name: "fabric", help: "distributes packets over the healthy entries", settings: s,
		run: func(ctx context.Context) error { return runFabric(ctx, s) },
	}
}

func runFabric(ctx context.Context, s *fabricSettings) error {
	f, err := fabric.New(s.Return, s.Services)
	if err != nil {
		return err
	}
	f.SetConditions(fabric.Conditions{
		Loss: s.Loss, Reorder: s.Reorder, Delay: time.Duration(s.DelayMicros) * time.Microsecond,
	})
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range s.Entries {
		g.Go(func() error { watchHealth(ctx, f, e); return nil })
	}
	g.Go(func() error { return f.Run(ctx, s.Seed) })
	return g.Wait()
}

// watchHealth polls the entry's health endpoint and keeps the entry in the fabric
// only while it returns 200.
func watchHealth(ctx context.Context, f *fabric.Fabric, e fabricEntry) {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	added := false
	for {
		healthy := isHealthy(ctx, client, e.Health)
		if healthy && !added {
			f.Add(fabric.Entry{Addr: e.Address})
		}
		if !healthy && added {
			f.Remove(e.Address)
		}
		added = healthy
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isHealthy(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
