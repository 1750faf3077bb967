package ctl

import "crocusnotch/internal/config"

// Revisions are what the processes should have in force. An agent keeps only
// the objects that concern it: zones, keys and its own service.
type Revisions struct {
	All      uint64            // highest of all objects, for entries
	Shared   uint64            // highest of zones and keys
	Services map[string]uint64 // by service name
}

// RevisionsOf returns the revisions of the store's objects.
func RevisionsOf(objects []config.Object) Revisions {
	x := Revisions{Services: map[string]uint64{}}
	for _, o := range objects {
		x.All = max(x.All, o.Revision)
		if o.Kind == config.KindService {
			x.Services[o.Name] = o.Revision
		} else {
			x.Shared = max(x.Shared, o.Revision)
		}
	}
	return x
}

// RevisionsOfEntries returns what is known without the store: the newest revision of an
// entry. Agents are not judged by it.
func RevisionsOfEntries(replies []Reply) Revisions {
	var x Revisions
	for _, r := range replies {
		if r.Status.Agent == nil {
			x.All = max(x.All, r.Status.ConfigRevision)
		}
	}
	return x
}

// due returns the revision that the process should have.
func (x Revisions) due(r *Reply) uint64 {
	a := r.Status.Agent
	if a == nil {
		return x.All
	}
	return max(x.Shared, x.Services[a.Service])
}

// Outdated returns the replies of processes that did not answer or whose
// configuration is older than it should be.
func (x Revisions) Outdated(replies []Reply) []Reply {
	var out []Reply
	for i := range replies {
		r := &replies[i]
		if r.Err != nil || r.Status.ConfigRevision < x.due(r) {
			out = append(out, *r)
		}
	}
	return out
}
