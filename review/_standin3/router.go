package main

import (
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// front is a front machine in the platform's rotation.
type front struct {
	index  int
	zone   string
	missed int
	in     bool
}

// router forwards the clients' packets as the platform's routers do: by a steady hash over
// the nodes of the client's zone that are in rotation.
type router struct {
	lab    *lab
	mu     sync.Mutex
	fronts []*front
}

func (r *router) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.fronts {
		if f.in {
			n++
		}
	}
	return n
}

// check asks each node twice a second whether it is ready. After two misses it is out of
// rotation.
func (r *router) check() {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, f := range r.fronts {
			go func() {
				res, err := client.Get("http://" + r.lab.addr(kindFront, f.index, "ready").String() + "/ready")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					f.missed, f.in = 0, true
					return
				}
				if f.missed++; f.missed >= 2 {
					f.in = false
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// next returns the address that a packet of the flow is forwarded to.
func (r *router) next(zone string, k key) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, found := uint64(0), -1
	for pass := range 2 {
		for _, f := range r.fronts {
			if !f.in || pass == 0 && f.zone != zone {
				continue
			}
			h := fnv.New64a()
			_, _ = h.Write(k.client[:])
			_, _ = h.Write(k.route[:])
			_, _ = h.Write([]byte{byte(f.index), byte(f.index * 7)})
			if s := h.Sum64() * 0x9E3779B97F4A7C15; found < 0 || s > best {
				best, found = s, f.index
			}
		}
		if found >= 0 {
			break
		}
	}
	if found < 0 {
		found = 0
	}
	return r.lab.addr(kindFront, found, "datagram")
}
