package fleet

import (
	"slices"
	"sync"

	"crocusnotch/internal/config"
)

// maxProblemSize bounds the text of an error about a foreign object, in bytes.
const maxProblemSize = 200

// unreadableObjects are the objects in the last lists of the store that can't be read, with
// the reasons. It is safe for concurrent use.
type unreadableObjects struct {
	mu      sync.Mutex
	reasons map[config.ID]string
}

// set replaces the objects of the listed kinds and returns those that are new or have
// another reason than before.
func (u *unreadableObjects) set(kinds []string, problems []config.Problem) (changed map[config.ID]string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[config.ID]string{}
	changed = map[config.ID]string{}
	for _, p := range problems {
		reason := p.Err.Error()
		reason = reason[:min(len(reason), maxProblemSize)]
		if u.reasons[p.ID] != reason {
			changed[p.ID] = reason
		}
		listed[p.ID] = reason
	}
	for id, reason := range u.reasons {
		if !slices.Contains(kinds, id.Kind) {
			listed[id] = reason
		}
	}
	u.reasons = listed
	return changed
}

// texts returns the objects with their reasons, in order.
func (u *unreadableObjects) texts() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]string, 0, len(u.reasons))
	for id, reason := range u.reasons {
		out = append(out, id.Kind+" "+id.Name+": "+reason)
	}
	return slices.Sorted(slices.Values(out))
}

// recordUnreadable records which objects in a list of the store can't be read, and logs the
// ones that were not known.
func (n *Node) recordUnreadable(kinds []string, problems []config.Problem) {
	for id, reason := range n.unreadable.set(kinds, problems) {
		n.opts.Log.Warn("object of the store not readable", "kind", id.Kind, "name", id.Name, "error", reason)
	}
}
