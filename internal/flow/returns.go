package flow

import "time"

const (
	// JoinWaitMax is the longest time without a new agent after which the set of agents
	// counts as complete: a restarting agent is back sooner.
	JoinWaitMax = 500 * time.Millisecond
	// joinWaitMin is the shortest such time: the spread of process starts within an
	// instance and some rounds of gossip.
	joinWaitMin = 150 * time.Millisecond
	// joinGapFactor multiplies the largest gap between two new agents: the gap before the
	// last agent of a wave is rarely that much longer than those before.
	joinGapFactor = 4
	// joinWaveAgents is the number of agents from which the gaps of a wave say how fast
	// agents join.
	joinWaveAgents = 8
)

// JoinWave records when agents join, to determine when the set of agents is complete.
// A wave begins with the first agent that joins after JoinWaitMax without a new one.
// The zero value has no agents.
type JoinWave struct {
	agents     int
	last       time.Time // when the last agent joined
	largestGap time.Duration
}

// Joined records agents that join at the same moment.
func (w *JoinWave) Joined(now time.Time, agents int) {
	if gap := now.Sub(w.last); gap >= JoinWaitMax {
		*w = JoinWave{}
	} else {
		w.largestGap = max(w.largestGap, gap)
	}
	w.agents += agents
	w.last = now
}

// Agents returns the number of agents of the current wave.
func (w *JoinWave) Agents() int { return w.agents }

// Last returns when the last agent joined, or the zero time if none did.
func (w *JoinWave) Last() time.Time { return w.last }

// Wait returns the time after the last agent at which the set counts as complete. Few
// agents, or agents that all came in one snapshot, do not show how fast others join.
func (w *JoinWave) Wait() time.Duration {
	if w.agents < joinWaveAgents || w.largestGap == 0 {
		return JoinWaitMax
	}
	return min(JoinWaitMax, max(joinWaitMin, joinGapFactor*w.largestGap))
}

// Settled reports whether the set of agents counts as complete.
func (w *JoinWave) Settled(now time.Time) bool {
	return !w.last.IsZero() && now.Sub(w.last) >= w.Wait()
}
