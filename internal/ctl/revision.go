package ctl

import "crocusnotch/internal/config"

// Revisions are the configuration revisions that processes are expected to have in
// force. An agent keeps only zones, keys and its own service.
type Revisions struct {
	All      uint64            // highest of all objects, for entries
	Shared   uint64            // highest of zones and keys
	Services map[string]uint64 // by service name
}

// RevisionsOf returns the revisions of the store's objects.
func RevisionsOf(objects []config.Object) Revisions {
	out := Revisions{Services: map[string]uint64{}}
	for _, o := range objects {
		out.All = max(out.All, o.Revision)
		if o.Kind == config.KindService {
			out.Services[o.Name] = o.Revision
		} else {
			out.Shared = max(out.Shared, o.Revision)
		}
	}
	return out
}

// RevisionsOfEntries returns the revisions expected without the store: the newest
// revision of any entry for entries, and 0 for agents.
func RevisionsOfEntries(replies []Reply) Revisions {
	var out Revisions
	for _, r := range replies {
		if r.Status.Agent == nil {
			out.All = max(out.All, r.Status.ConfigRevision)
		}
	}
	return out
}

// revisionFor returns the revision expected of the process.
func (x Revisions) revisionFor(r *Reply) uint64 {
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
		if r.Err != nil || r.Status.ConfigRevision < x.revisionFor(r) {
			out = append(out, *r)
		}
	}
	return out
}
