package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

const (
	// answerTimeout is how long a request that runs while its upstream announces its end
	// may still be answered: upstreams finish what runs before they exit.
	answerTimeout = 500 * time.Millisecond
	// answerPause is the time without packets after which an answer is complete. Its
	// packets follow each other within a round trip.
	answerPause = 50 * time.Millisecond
)

// endingFlows are the flows that wait for an answer of an upstream that announced its
// end, with the time of the announcement.
type endingFlows map[flow.Key]time.Time

// mayBeAnswered reports whether an upstream that announced its end at endedAt may still
// send the answer, or the rest of it, on the flow.
func (f *trackedFlow) mayBeAnswered(now, endedAt time.Time) bool {
	if now.Sub(endedAt) >= answerTimeout {
		return false
	}
	return f.busy || now.Sub(f.lastSeen) < answerPause
}

func (t *Tracker) isEnding(k flow.Key) bool {
	_, ok := t.ending[k]
	return ok
}

// finishFlows ends the flows of the upstream that announced its end and was started at
// startMillis. Flows with a request that runs are ended when it has been answered.
func (t *Tracker) finishFlows(startMillis int64, now time.Time) {
	for k, f := range t.flows {
		if f.upstreamStart == startMillis && f.mayBeAnswered(now, now) {
			t.ending[k] = now
		}
	}
	t.endFlows(startMillis, now)
}

// endAnsweredFlows ends the flows whose last answer is complete or no longer expected.
func (t *Tracker) endAnsweredFlows(now time.Time) {
	for _, k := range sortedKeys(t.ending) {
		f := t.flows[k]
		if f != nil && t.upstream.Last().Ended && f.mayBeAnswered(now, t.ending[k]) {
			continue
		}
		delete(t.ending, k)
		if f != nil && f.upstreamStart != 0 && (t.upstream.Last().Ended || t.upstreamReplaced(f)) {
			t.endFlow(k, f, f.lastAck)
		}
	}
}
