package request

import (
	"cmp"
	"slices"
	"time"
)

// figures are the results of one run.
type figures struct {
	imbalance float64 // max over mean of the share of slots in use
	goodput   float64 // answered in time, over the capacity
	late      float64 // admitted and not answered in time, over admitted
	p99       float64 // of admitted requests, over the deadline
	relays    float64 // per request
	asked     float64 // runs and relays per request
	refused   float64
}

// serveCentral gives waiting requests to the least busy hosts at once.
func (b *bench) serveCentral() {
	for len(b.queue) > 0 {
		h := slices.MinFunc(b.hosts, func(x, y *host) int {
			x.use(b.now, 0)
			y.use(b.now, 0)
			return cmp.Or(cmp.Compare(x.busy, y.busy), cmp.Compare(x.used, y.used))
		})
		if h.busy == b.slots {
			return
		}
		r := b.queue[0]
		b.queue = b.queue[1:]
		if b.now.After(r.began.Add(b.deadline() - b.work)) {
			b.counted.refused++
			r.took = -1
			continue
		}
		h.use(b.now, 1)
		b.after(b.service(h), func() {
			h.use(b.now, -1)
			r.took = b.now.Sub(r.began)
			b.serveCentral()
		})
	}
}

func (b *bench) result(capacity float64) figures {
	var f figures
	sum, highest := 0.0, 0.0
	for _, h := range b.hosts {
		h.use(b.now, 0)
		sum += h.used
		highest = max(highest, h.used)
	}
	f.imbalance = highest * float64(len(b.hosts)) / sum
	var took []time.Duration
	good := 0
	admitted, late := 0, 0
	for _, r := range b.all {
		if r.took < 0 || b.now.Sub(r.began) < b.deadline() {
			continue
		}
		admitted++
		if r.took == 0 || r.took > b.deadline() {
			late++
			took = append(took, 2*b.deadline())
			continue
		}
		good++
		took = append(took, r.took)
	}
	n := float64(len(b.all))
	slices.Sort(took)
	f.goodput = float64(good) / capacity
	f.late = float64(late) / float64(max(1, admitted))
	if len(took) > 0 {
		f.p99 = float64(took[len(took)*99/100]) / float64(b.deadline())
	}
	f.relays = float64(b.counted.relays) / n
	f.asked = float64(b.counted.relays+b.counted.runs) / n
	f.refused = float64(b.counted.refused) / n
	return f
}
