package request

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"
)

// phase is where a request is.
type phase uint8

const (
	phaseWaiting     phase = iota + 1 // in the limiter's queue
	phaseRunning                      // at the upstream
	phaseEstablished                  // at the upstream, without a slot
	phaseRelayed                      // at a peer
	phaseAsking                       // another agent was asked for the outcome
)

// job is one request from its arrival to its end here.
type job struct {
	Request
	phase   phase
	entry   *entry // nil for idempotent requests
	replied bool   // the reply was given while the run goes on
	tried   []netip.AddrPort
	peer    AgentRef // phaseRelayed: where
	sentAt  time.Time
	asked   AgentRef // phaseAsking: who
	pointer AgentRef // phaseAsking: who was asked first
	asks    int      // agents asked in a row
	shed    bool
	retries int
	// mayHaveRun tells that an earlier try of an idempotent request may have
	// run.
	mayHaveRun bool
}

// minCompact is the number of ended items that are not worth a compaction.
const minCompact = 64

// due is the deadline of one job.
type due struct {
	at time.Time
	id ID
}

// dueHeap orders deadlines, the next first. Those of ended jobs
// stay for a while.
type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// jobs are the requests under way.
type jobs struct {
	byID map[ID]*job
	due  dueHeap
}

func newJobs() jobs { return jobs{byID: map[ID]*job{}} }

func (j *jobs) add(x *job) {
	j.byID[x.ID] = x
	if x.Deadline.IsZero() {
		return
	}
	if len(j.due) > 2*len(j.byID)+minCompact {
		j.compact()
	}
	heap.Push(&j.due, due{at: x.Deadline, id: x.ID})
}

// compact drops the deadlines of ended jobs.
func (j *jobs) compact() {
	j.due = slices.DeleteFunc(j.due, func(d due) bool { return j.byID[d.id] == nil })
	heap.Init(&j.due)
}

// overdue removes and returns the next job whose deadline has passed.
func (j *jobs) overdue(now time.Time) *job {
	for len(j.due) > 0 && !now.Before(j.due[0].at) {
		d := heap.Pop(&j.due).(due)
		if x := j.byID[d.id]; x != nil && !x.replied {
			return x
		}
	}
	return nil
}

// next returns the next deadline of a job that is not ended.
func (j *jobs) next() (time.Time, bool) {
	for len(j.due) > 0 {
		if x := j.byID[j.due[0].id]; x != nil && !x.replied {
			return j.due[0].at, true
		}
		heap.Pop(&j.due)
	}
	return time.Time{}, false
}
