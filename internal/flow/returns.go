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

// defaultServiceTime is the service time assumed for an agent that reports none, in the
// rate of resets: one request for each free slot and tick of 25 ms.
const defaultServiceTime = 25 * time.Millisecond

// FreeRate returns the number of requests a second that the free slots of the agents can
// serve, according to their reports. An agent without a valid report counts as idle; a
// suspect one serves nothing.
func (p *Placement) FreeRate(now time.Time, agents []Agent) float64 {
	rate := 0.0
	for i := range agents {
		if agents[i].Suspect {
			continue
		}
		free, serviceTime := float64(agents[i].Slots), defaultServiceTime
		if l := p.loads[agents[i].Addr]; l != nil && now.Sub(l.reportedAt) < ReportTTL {
			free = max(0, free-l.report.Busy)
			if l.report.ServiceTime > 0 {
				serviceTime = l.report.ServiceTime
			}
		}
		rate += free / serviceTime.Seconds()
	}
	return rate
}
