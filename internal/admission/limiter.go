package admission

import "time"

// Settings are the service's targets as the limiter needs them.
type Settings struct {
	FreshShare    float64 // share of the slots at the first step
	FreshSteps    int
	FreshInterval time.Duration
	QueuePerSlot  int // bound of the queue for each announced slot
}

// Limiter admits work to one upstream. It is not safe for concurrent use.
type Limiter struct {
	settings Settings
	now      Announcement
	running  map[uint64]run
	queue    queue
	ramp     ramp
	health   health
	usage    usage
	lowered  time.Time // when the limit last went down
}

type run struct {
	kind  string
	began time.Time
}

// New returns a limiter without an upstream.
func New(s Settings) *Limiter {
	return &Limiter{
		settings: s,
		running:  map[uint64]run{},
		ramp:     ramp{settings: s},
		health:   newHealth(),
	}
}

// SetSettings adopts changed targets. The ramp stays at its step.
func (l *Limiter) SetSettings(s Settings) {
	l.settings = s
	l.ramp.settings = s
	l.ramp.step = min(l.ramp.step, s.FreshSteps)
}

// Announce adopts what the upstream says of itself. StateNone means that its
// lease lapsed. A fresh upstream and one that says it is cold again start at
// the first step, also when it calls itself warm.
func (l *Limiter) Announce(now time.Time, a Announcement) Change {
	fresh := l.now.State == StateNone
	coldAgain := a.State == StateCold && l.now.State != StateCold
	if fresh {
		l.health = newHealth()
		l.ramp.ceiling = 0
	}
	if fresh || coldAgain {
		l.ramp.reset(now)
	}
	l.now = a
	switch a.State {
	case StateNone:
		return l.dropAll(RefusalNoUpstream)
	case StateLeaving:
		return l.dropAll(RefusalLeaving)
	}
	return l.fill(now)
}

// Offer asks for a slot.
func (l *Limiter) Offer(now time.Time, w Request) Decision {
	l.ramp.advance(now, l.now.Slots)
	l.checkOverdue(now)
	switch l.now.State {
	case StateNone:
		return refuse(RefusalNoUpstream)
	case StateLeaving:
		return refuse(RefusalLeaving)
	}
	change := l.fill(now)
	if len(l.running) < l.limit() && l.queue.len() == 0 {
		l.start(now, &w)
		return Decision{Verdict: VerdictStart, Change: change}
	}
	d := l.enqueue(now, &w)
	d.Change.Started = append(change.Started, d.Change.Started...)
	d.Change.Dropped = append(change.Dropped, d.Change.Dropped...)
	return d
}

func refuse(r Refusal) Decision { return Decision{Verdict: VerdictRefuse, Refusal: r} }

// enqueue lets the work wait when it can start in time and the queue has room
// or holds work of a lower priority.
func (l *Limiter) enqueue(now time.Time, w *Request) Decision {
	if l.tooLate(now, w) {
		return refuse(RefusalDeadline)
	}
	bound := l.settings.QueuePerSlot * l.now.Slots
	if l.queue.len() < bound {
		l.queue.insert(w)
		return Decision{Verdict: VerdictWait}
	}
	if bound == 0 || l.queue.last().Priority >= w.Priority {
		return refuse(l.fullReason())
	}
	displaced := l.queue.popLast()
	l.queue.insert(w)
	dropped := []Dropped{{ID: displaced.ID, Refusal: RefusalDisplaced}}
	return Decision{Verdict: VerdictWait, Change: Change{Dropped: dropped}}
}

func (l *Limiter) fullReason() Refusal {
	if l.limit() < l.now.Slots {
		return RefusalCold
	}
	return RefusalNoSlot
}

// tooLate estimates from the observed service times whether the work would
// still end before its deadline if it waited.
func (l *Limiter) tooLate(now time.Time, w *Request) bool {
	if w.Deadline.IsZero() {
		return false
	}
	ahead := l.queue.position(w) + 1
	wait := time.Duration(ahead) * l.health.mean() / time.Duration(max(1, l.limit()))
	end := now.Add(wait + l.health.tail(w.Kind))
	return end.After(w.Deadline)
}

// Done ends a run and gives its slot to waiting work.
func (l *Limiter) Done(now time.Time, id uint64, result Result) Change {
	r, ok := l.running[id]
	if !ok {
		return Change{}
	}
	busy := len(l.running)
	l.usage.advance(now, busy+l.queue.len(), l.now.Slots)
	delete(l.running, id)
	overloaded := l.health.observe(r.kind, now.Sub(r.began), result)
	if overloaded {
		l.lower(now, r.began, busy)
	} else {
		l.record(result)
	}
	l.ramp.advance(now, l.now.Slots)
	return l.fill(now)
}

// Release gives back the slot of a long-lived stream that is established, so
// that it counts as a connection only. It is no signal for the limit.
func (l *Limiter) Release(now time.Time, id uint64) Change {
	if _, ok := l.running[id]; !ok {
		return Change{}
	}
	l.usage.advance(now, len(l.running)+l.queue.len(), l.now.Slots)
	delete(l.running, id)
	l.ramp.successes++
	l.ramp.advance(now, l.now.Slots)
	return l.fill(now)
}

// record takes in a run that shows no overload.
func (l *Limiter) record(result Result) {
	switch result {
	case ResultOK:
		l.ramp.successes++
	case ResultError, ResultTimeout:
		l.ramp.unhealthy = true
	}
}

// lower takes the limit back to the first step and remembers the load that was
// not borne. A run that began before the limit last went down tells nothing
// new of that load.
func (l *Limiter) lower(now, began time.Time, busy int) {
	if began.After(l.lowered) {
		l.ramp.ceiling = max(2, min(busy, l.now.Slots))
	}
	l.lowered = now
	l.ramp.reset(now)
	l.health.forgive()
}

// checkOverdue notices an upstream that has stopped to answer: most of its
// runs take far longer than they used to.
func (l *Limiter) checkOverdue(now time.Time) {
	if len(l.running) < l.limit() || l.ramp.step == 0 {
		return
	}
	overdue := 0
	for _, r := range l.running {
		if l.health.overdue(r.kind, now.Sub(r.began)) {
			overdue++
		}
	}
	if 2*overdue > len(l.running) {
		l.lower(now, now, len(l.running))
	}
}

// Cancel removes waiting work and reports whether it was waiting. Running work
// is ended by Done.
func (l *Limiter) Cancel(id uint64) bool { return l.queue.remove(id) }

// Tick drops waiting work whose time is over and starts work that a raised
// limit allows.
func (l *Limiter) Tick(now time.Time) Change {
	l.ramp.advance(now, l.now.Slots)
	l.checkOverdue(now)
	change := Change{}
	late := l.queue.removeIf(func(w *Request) bool {
		return !w.Deadline.IsZero() && !now.Before(w.Deadline)
	})
	for _, id := range late {
		change.Dropped = append(change.Dropped, Dropped{ID: id, Refusal: RefusalDeadline})
	}
	filled := l.fill(now)
	change.Started = filled.Started
	change.Dropped = append(change.Dropped, filled.Dropped...)
	return change
}

// NextTick returns when Tick has something to do, and false for never.
func (l *Limiter) NextTick() (time.Time, bool) {
	if l.queue.len() == 0 {
		return time.Time{}, false
	}
	var next time.Time
	for i := range l.queue.works {
		if d := l.queue.works[i].Deadline; earlier(d, next) {
			next = d
		}
	}
	if !l.ramp.full() && earlier(l.ramp.end(), next) {
		next = l.ramp.end()
	}
	return next, !next.IsZero()
}

// fill starts waiting work while slots are free. Work that would not end in
// time is dropped instead, since its run would be wasted.
func (l *Limiter) fill(now time.Time) Change {
	var change Change
	for l.queue.len() > 0 && len(l.running) < l.limit() {
		w := l.queue.pop()
		if !w.Deadline.IsZero() && now.Add(l.health.typical(w.Kind)).After(w.Deadline) {
			change.Dropped = append(change.Dropped, Dropped{ID: w.ID, Refusal: RefusalDeadline})
			continue
		}
		l.start(now, &w)
		change.Started = append(change.Started, w.ID)
	}
	return change
}

func (l *Limiter) start(now time.Time, w *Request) {
	l.usage.advance(now, len(l.running)+l.queue.len(), l.now.Slots)
	l.running[w.ID] = run{kind: w.Kind, began: now}
}

func (l *Limiter) dropAll(r Refusal) Change {
	ids := l.queue.removeIf(func(*Request) bool { return true })
	var change Change
	for _, id := range ids {
		change.Dropped = append(change.Dropped, Dropped{ID: id, Refusal: r})
	}
	return change
}

// limit returns how many works may run at once now.
func (l *Limiter) limit() int {
	if l.now.State != StateCold && l.now.State != StateWarm {
		return 0
	}
	return min(l.now.Slots, l.ramp.limit(l.now.Slots))
}

// MeanServiceTime returns the mean service time that was observed, 0 when unknown.
func (l *Limiter) MeanServiceTime() time.Duration { return l.health.mean() }

// Load returns the present state.
func (l *Limiter) Load(now time.Time) Load {
	l.usage.advance(now, len(l.running)+l.queue.len(), l.now.Slots)
	limit := l.limit()
	return Load{
		Busy:        len(l.running),
		Limit:       limit,
		Slots:       l.now.Slots,
		Queued:      l.queue.len(),
		Connections: l.now.Connections,
		Cold:        l.now.State == StateCold || (limit > 0 && !l.ramp.full()),
		Utilization: l.usage.mean,
	}
}
