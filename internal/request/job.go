package request

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"
)

// phase is the stage of processing that a request has reached.
type phase uint8

const (
	phaseWaiting     phase = iota + 1 // in the limiter's queue
	phaseRunning                      // at the upstream
	phaseEstablished                  // stream at the upstream that has released its slot
	phaseRelayed                      // at a peer
	phaseQuerying                     // waiting for another agent to return the outcome
)

// job is one request in progress at this agent.
type job struct {
	Request
	phase         phase
	entry         *ledgerEntry // nil for idempotent requests
	replied       bool         // the reply was sent before the run or relay ended
	triedPeers    []netip.AddrPort
	relayPeer     AgentRef // phaseRelayed: the peer that has the request
	relayedAt     time.Time
	queried       AgentRef // phaseQuerying: the agent queried last
	firstQueried  AgentRef // phaseQuerying: the agent queried first
	queries       int      // phaseQuerying: agents queried so far
	triedUpstream bool     // the upstream did not run an earlier attempt
	retries       int
	// mayHaveRun is true if an earlier attempt of an idempotent request may
	// have run.
	mayHaveRun bool
}

// minStaleToCompact is how many stale items a list may hold before compaction
// is considered.
const minStaleToCompact = 64

// jobDeadline is an item of deadlineHeap.
type jobDeadline struct {
	at time.Time
	id ID
}

// deadlineHeap is a min-heap of deadlines. Those of finished jobs stay until
// they reach the top or the heap is compacted.
type deadlineHeap []jobDeadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(jobDeadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// jobs are the requests in progress.
type jobs struct {
	byID      map[ID]*job
	deadlines deadlineHeap
}

func newJobs() jobs { return jobs{byID: map[ID]*job{}} }

func (j *jobs) add(x *job) {
	j.byID[x.ID] = x
	if x.Deadline.IsZero() {
		return
	}
	if len(j.deadlines) > 2*len(j.byID)+minStaleToCompact {
		j.compact()
	}
	heap.Push(&j.deadlines, jobDeadline{at: x.Deadline, id: x.ID})
}

// compact removes the deadlines of finished jobs.
func (j *jobs) compact() {
	j.deadlines = slices.DeleteFunc(j.deadlines, func(d jobDeadline) bool { return j.byID[d.id] == nil })
	heap.Init(&j.deadlines)
}

// popOverdue removes the earliest deadline that has passed and returns its job,
// or nil. Jobs that already have a reply are skipped.
func (j *jobs) popOverdue(now time.Time) *job {
	for len(j.deadlines) > 0 && !now.Before(j.deadlines[0].at) {
		d := heap.Pop(&j.deadlines).(jobDeadline)
		if x := j.byID[d.id]; x != nil && !x.replied {
			return x
		}
	}
	return nil
}

// nextDeadline returns the earliest deadline of a job without a reply.
func (j *jobs) nextDeadline() (time.Time, bool) {
	for len(j.deadlines) > 0 {
		if x := j.byID[j.deadlines[0].id]; x != nil && !x.replied {
			return j.deadlines[0].at, true
		}
		heap.Pop(&j.deadlines)
	}
	return time.Time{}, false
}
