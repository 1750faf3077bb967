package request

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

var idempotentClass = config.Class{Name: "status", DeadlineMillis: 1000}

// benchRequests measures the submission and completion of one request.
func benchRequests(b *testing.B, e *Engine, next func(i int) Request) {
	b.ReportAllocs()
	now := testStart
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		r := next(i)
		r.ID = ID(i)
		e.Submit(now, r)
		e.UpstreamDone(now, r.ID, Result{Outcome: OutcomeRan, Status: 200})
	}
}

func BenchmarkIdempotent(b *testing.B) {
	benchRequests(b, newEngine(1, 9), func(int) Request { return Request{Class: idempotentClass} })
}

func BenchmarkAtMostOnce(b *testing.B) {
	benchRequests(b, newEngine(1, 9), func(i int) Request {
		return Request{Class: onceClass, Key: strconv.Itoa(i)}
	})
}

func BenchmarkReplay(b *testing.B) {
	e := newEngine(1, 9)
	e.Submit(testStart, onceRequest(1, "k"))
	e.UpstreamDone(testStart, 1, Result{Outcome: OutcomeRan, Status: 200})
	b.ReportAllocs()
	for b.Loop() {
		e.Submit(testStart, onceRequest(2, "k"))
	}
}

func BenchmarkResolve(b *testing.B) {
	e := newEngine(1, 9)
	e.Submit(testStart, onceRequest(1, "k"))
	q := Query{Key: "k", Attempt: 2, Target: e.Self(), Querier: agentRef(2, 1)}
	b.ReportAllocs()
	for b.Loop() {
		e.Resolve(testStart, q)
	}
}

// manyPeers returns n peers, each with a current load report.
func manyPeers(n int) peers {
	p := newPeers(rand.New(rand.NewPCG(1, 2)))
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		p.report(testStart, LoadReport{
			Peer: AgentRef{Addr: addr, Incarnation: 1, ClockMillis: 1},
			Load: admission.Load{Busy: i % 9, Limit: 9, Slots: 9},
		})
	}
	return p
}

func BenchmarkRelayChoice(b *testing.B) {
	for _, n := range []int{10, 100, 500, 2000} {
		b.Run(fmt.Sprint("peers-", n), func(b *testing.B) {
			p := manyPeers(n)
			b.ReportAllocs()
			for b.Loop() {
				p.leastLoaded(testStart, time.Second, 20*time.Millisecond, nil, nil)
			}
		})
	}
}

func BenchmarkPeerReport(b *testing.B) {
	for _, n := range []int{10, 2000} {
		b.Run(fmt.Sprint("peers-", n), func(b *testing.B) {
			p := manyPeers(n)
			r := LoadReport{Peer: p.list[0].ref, Load: admission.Load{Busy: 1, Limit: 9, Slots: 9}}
			b.ReportAllocs()
			for b.Loop() {
				p.report(testStart, r)
			}
		})
	}
}
