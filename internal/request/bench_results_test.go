package request

import (
	"cmp"
	"slices"
	"time"
)

// results are the results of one run.
type results struct {
	imbalance float64 // max over mean of the share of slots in use
	goodput   float64 // completed before the deadline, over the capacity
	late      float64 // admitted but not completed before the deadline, over admitted
	p99       float64 // latency of admitted requests, over the deadline
	relays    float64 // per request
	attempts  float64 // runs and relays per request
	refused   float64
}

// startQueued starts the requests of the central queue on the least busy hosts
// while slots are free.
func (b *bench) startQueued() {
	for len(b.queue) > 0 {
		h := slices.MinFunc(b.hosts, func(x, y *host) int {
			x.updateBusy(b.now, 0)
			y.updateBusy(b.now, 0)
			return cmp.Or(cmp.Compare(x.busy, y.busy), cmp.Compare(x.busySeconds, y.busySeconds))
		})
		if h.busy == b.slots {
			return
		}
		r := b.queue[0]
		b.queue = b.queue[1:]
		if b.now.After(r.startedAt.Add(b.deadline() - b.serviceTime)) {
			b.counted.refused++
			r.latency = -1
			continue
		}
		h.updateBusy(b.now, 1)
		b.after(b.drawServiceTime(h), func() {
			h.updateBusy(b.now, -1)
			r.latency = b.now.Sub(r.startedAt)
			b.startQueued()
		})
	}
}

func (b *bench) result(capacity float64) results {
	var f results
	sum, highest := 0.0, 0.0
	for _, h := range b.hosts {
		h.updateBusy(b.now, 0)
		sum += h.busySeconds
		highest = max(highest, h.busySeconds)
	}
	f.imbalance = highest * float64(len(b.hosts)) / sum
	var latencies []time.Duration
	good := 0
	admitted, late := 0, 0
	for _, r := range b.all {
		if r.latency < 0 || b.now.Sub(r.startedAt) < b.deadline() {
			continue
		}
		admitted++
		if r.latency == 0 || r.latency > b.deadline() {
			late++
			latencies = append(latencies, 2*b.deadline())
			continue
		}
		good++
		latencies = append(latencies, r.latency)
	}
	n := float64(len(b.all))
	slices.Sort(latencies)
	f.goodput = float64(good) / capacity
	f.late = float64(late) / float64(max(1, admitted))
	if len(latencies) > 0 {
		f.p99 = float64(latencies[len(latencies)*99/100]) / float64(b.deadline())
	}
	f.relays = float64(b.counted.relays) / n
	f.attempts = float64(b.counted.relays+b.counted.runs) / n
	f.refused = float64(b.counted.refused) / n
	return f
}
