package admission

import "time"

// Settings are the service's targets that apply to the limiter.
type Settings struct {
	FreshShare    float64 // share of the slots at the first step of the cold start
	FreshSteps    int
	FreshInterval time.Duration
	QueuePerSlot  int // maximum queue length for each announced slot
}

// Limiter admits requests to one upstream. It is not safe for concurrent use.
type Limiter struct {
	settings     Settings
	announcement Announcement
	running      map[uint64]run
	queue        queue
	ramp         ramp
	health       health
	utilization  utilization
	loweredAt    time.Time // when the limit was last lowered
}

type run struct {
	kind      string
	startedAt time.Time
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

// SetSettings applies changed targets. The ramp stays at its step.
func (l *Limiter) SetSettings(s Settings) {
	l.settings = s
	l.ramp.settings = s
	l.ramp.step = min(l.ramp.step, s.FreshSteps)
}

// Announce applies an announcement of the upstream. StateNone means that its
// lease has expired. A new upstream starts at the first step even if it
// announces StateWarm; so does one that changes to StateCold.
func (l *Limiter) Announce(now time.Time, a Announcement) Change {
	newUpstream := l.announcement.State == StateNone
	coldAgain := a.State == StateCold && l.announcement.State != StateCold
	if newUpstream {
		l.health = newHealth()
		l.ramp.ceiling = 0
	}
	if newUpstream || coldAgain {
		l.ramp.reset(now)
	}
	l.announcement = a
	switch a.State {
	case StateNone:
		return l.dropAll(RefusalNoUpstream)
	case StateLeaving:
		return l.dropAll(RefusalLeaving)
	}
	return l.startWaiting(now)
}

// Offer requests a slot: it starts, queues or refuses the request.
func (l *Limiter) Offer(now time.Time, r Request) Decision {
	l.ramp.advance(now, l.announcement.Slots)
	l.checkStuckRuns(now)
	switch l.announcement.State {
	case StateNone:
		return refuse(RefusalNoUpstream)
	case StateLeaving:
		return refuse(RefusalLeaving)
	}
	change := l.startWaiting(now)
	if len(l.running) < l.limit() && l.queue.len() == 0 {
		l.start(now, &r)
		return Decision{Verdict: VerdictStart, Change: change}
	}
	d := l.enqueue(now, &r)
	d.Change.Started = append(change.Started, d.Change.Started...)
	d.Change.Dropped = append(change.Dropped, d.Change.Dropped...)
	return d
}

func refuse(r Refusal) Decision { return Decision{Verdict: VerdictRefuse, Refusal: r} }

// enqueue queues the request if it can finish in time and the queue has room or
// holds a request of a lower priority.
func (l *Limiter) enqueue(now time.Time, r *Request) Decision {
	if l.wouldMissDeadline(now, r) {
		return refuse(RefusalDeadline)
	}
	bound := l.settings.QueuePerSlot * l.announcement.Slots
	if l.queue.len() < bound {
		l.queue.insert(r)
		return Decision{Verdict: VerdictWait}
	}
	if bound == 0 || l.queue.last().Priority >= r.Priority {
		return refuse(l.fullRefusal())
	}
	displaced := l.queue.popLast()
	l.queue.insert(r)
	dropped := []Dropped{{ID: displaced.ID, Refusal: RefusalDisplaced}}
	return Decision{Verdict: VerdictWait, Change: Change{Dropped: dropped}}
}

func (l *Limiter) fullRefusal() Refusal {
	if l.limit() < l.announcement.Slots {
		return RefusalCold
	}
	return RefusalNoSlot
}

// wouldMissDeadline estimates from the observed service times whether the
// request, if queued, would finish after its deadline.
func (l *Limiter) wouldMissDeadline(now time.Time, r *Request) bool {
	if r.Deadline.IsZero() {
		return false
	}
	ahead := l.queue.position(r) + 1
	wait := time.Duration(ahead) * l.health.mean() / time.Duration(max(1, l.limit()))
	end := now.Add(wait + l.health.tail(r.Kind))
	return end.After(r.Deadline)
}

// Done ends a run and gives its slot to a waiting request.
func (l *Limiter) Done(now time.Time, id uint64, result Result) Change {
	r, ok := l.running[id]
	if !ok {
		return Change{}
	}
	busy := len(l.running)
	l.utilization.advance(now, busy+l.queue.len(), l.announcement.Slots)
	delete(l.running, id)
	overloaded := l.health.observe(r.kind, now.Sub(r.startedAt), result)
	if overloaded {
		l.lowerLimit(now, r.startedAt, busy)
	} else {
		l.recordResult(result)
	}
	l.ramp.advance(now, l.announcement.Slots)
	return l.startWaiting(now)
}

// Release frees the slot of a long-lived stream that is established and counts
// only as a connection from then on. It counts as a success for the ramp, but
// not for the latency and failure averages.
func (l *Limiter) Release(now time.Time, id uint64) Change {
	if _, ok := l.running[id]; !ok {
		return Change{}
	}
	l.utilization.advance(now, len(l.running)+l.queue.len(), l.announcement.Slots)
	delete(l.running, id)
	l.ramp.successes++
	l.ramp.advance(now, l.announcement.Slots)
	return l.startWaiting(now)
}

// recordResult records a run without signs of overload for the ramp.
func (l *Limiter) recordResult(result Result) {
	switch result {
	case ResultOK:
		l.ramp.successes++
	case ResultError, ResultTimeout:
		l.ramp.unhealthy = true
	}
}

// lowerLimit resets the limit to the first step and sets the ramp's ceiling to
// the number of requests that overloaded the upstream. A run that started before
// the limit was last lowered belongs to the same overload and does not change the
// ceiling.
func (l *Limiter) lowerLimit(now, startedAt time.Time, busy int) {
	if startedAt.After(l.loweredAt) {
		l.ramp.ceiling = max(2, min(busy, l.announcement.Slots))
	}
	l.loweredAt = now
	l.ramp.reset(now)
	l.health.resetRecent()
}

// checkStuckRuns detects an upstream that has stopped responding: most of its
// runs take far longer than their mean.
func (l *Limiter) checkStuckRuns(now time.Time) {
	if len(l.running) < l.limit() || l.ramp.step == 0 {
		return
	}
	stuck := 0
	for _, r := range l.running {
		if l.health.isStuck(r.kind, now.Sub(r.startedAt)) {
			stuck++
		}
	}
	if 2*stuck > len(l.running) {
		l.lowerLimit(now, now, len(l.running))
	}
}

// Cancel removes a waiting request and reports whether it was waiting. A running
// request is ended by Done.
func (l *Limiter) Cancel(id uint64) bool { return l.queue.remove(id) }

// Tick drops waiting requests whose deadline has passed and starts waiting ones
// if the limit has risen.
func (l *Limiter) Tick(now time.Time) Change {
	l.ramp.advance(now, l.announcement.Slots)
	l.checkStuckRuns(now)
	change := Change{}
	late := l.queue.removeIf(func(r *Request) bool {
		return !r.Deadline.IsZero() && !now.Before(r.Deadline)
	})
	for _, id := range late {
		change.Dropped = append(change.Dropped, Dropped{ID: id, Refusal: RefusalDeadline})
	}
	filled := l.startWaiting(now)
	change.Started = filled.Started
	change.Dropped = append(change.Dropped, filled.Dropped...)
	return change
}

// NextTick returns when Tick is next due, and false if it is not needed.
func (l *Limiter) NextTick() (time.Time, bool) {
	if l.queue.len() == 0 {
		return time.Time{}, false
	}
	var next time.Time
	for i := range l.queue.requests {
		if d := l.queue.requests[i].Deadline; earlierDeadline(d, next) {
			next = d
		}
	}
	if !l.ramp.isComplete() && earlierDeadline(l.ramp.intervalEnd(), next) {
		next = l.ramp.intervalEnd()
	}
	return next, !next.IsZero()
}

// startWaiting starts waiting requests while slots are free. A request that would
// not finish in time is dropped instead, since its run would be wasted.
func (l *Limiter) startWaiting(now time.Time) Change {
	var change Change
	for l.queue.len() > 0 && len(l.running) < l.limit() {
		r := l.queue.pop()
		if !r.Deadline.IsZero() && now.Add(l.health.kindMean(r.Kind)).After(r.Deadline) {
			change.Dropped = append(change.Dropped, Dropped{ID: r.ID, Refusal: RefusalDeadline})
			continue
		}
		l.start(now, &r)
		change.Started = append(change.Started, r.ID)
	}
	return change
}

func (l *Limiter) start(now time.Time, r *Request) {
	l.utilization.advance(now, len(l.running)+l.queue.len(), l.announcement.Slots)
	l.running[r.ID] = run{kind: r.Kind, startedAt: now}
}

func (l *Limiter) dropAll(r Refusal) Change {
	ids := l.queue.removeIf(func(*Request) bool { return true })
	var change Change
	for _, id := range ids {
		change.Dropped = append(change.Dropped, Dropped{ID: id, Refusal: r})
	}
	return change
}

// limit returns how many requests may currently run at once.
func (l *Limiter) limit() int {
	if l.announcement.State != StateCold && l.announcement.State != StateWarm {
		return 0
	}
	return min(l.announcement.Slots, l.ramp.limit(l.announcement.Slots))
}

// MeanServiceTime returns the mean of the observed service times, 0 if unknown.
func (l *Limiter) MeanServiceTime() time.Duration { return l.health.mean() }

// Load returns the current load.
func (l *Limiter) Load(now time.Time) Load {
	l.utilization.advance(now, len(l.running)+l.queue.len(), l.announcement.Slots)
	limit := l.limit()
	return Load{
		Busy:        len(l.running),
		Limit:       limit,
		Slots:       l.announcement.Slots,
		Queued:      l.queue.len(),
		Connections: l.announcement.Connections,
		Cold:        l.announcement.State == StateCold || (limit > 0 && !l.ramp.isComplete()),
		Utilization: l.utilization.mean,
	}
}
