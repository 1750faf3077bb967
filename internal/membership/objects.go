package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

var errKeysDeleted = errors.New("the key object must not be deleted")

// object is one configuration object and its last valid revision.
type object struct {
	latest  config.Object
	valid   *config.Object // nil when no valid revision is known
	problem error          // why latest is not in force
	service uint16         // ID of the service, 0 for other kinds
	seq     uint64         // local sequence number of the last change
	// superseded are earlier revisions of the same era, oldest first. A store that was
	// restored from a copy has one of them again.
	superseded []supersededRevision
}

// supersededRevision identifies a revision of an object and its content.
type supersededRevision struct {
	revision uint64 // as the store gave it out
	value    uint64 // hash
}

// maxSuperseded bounds the superseded revisions of one object. A copy is seconds
// old, and operators change one object a few times a second at most.
const maxSuperseded = 64

// objects holds the last known revision of every configuration object.
type objects struct {
	seq     *uint64
	buckets [Buckets]map[config.ID]*object
	hashes  [Buckets]uint32
	sum     uint64 // combined hash of all identities and revisions
	latest  uint64 // sequence number of the last change of any object
	regions map[uint8]string
	size    int
}

func newObjects(seq *uint64) *objects {
	o := &objects{seq: seq, regions: map[uint8]string{}}
	for i := range o.buckets {
		o.buckets[i] = map[config.ID]*object{}
	}
	return o
}

func idKey(id config.ID) uint64 { return xxhash.Sum64String(id.Kind + "/" + id.Name) }

func revisionHash(key, revision uint64) uint64 {
	v := (key ^ revision*0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93
	return v ^ v>>29
}

func (o *objects) get(id config.ID) *object { return o.buckets[bucketOf(idKey(id))][id] }

// putIfNewer stores an object that supersedes the known one. It returns nil when it
// does not. An invalid revision is stored so that it can be sent to others, but the
// last valid one stays in force.
func (o *objects) putIfNewer(in *config.Object) *object {
	key := idKey(in.ID())
	b := bucketOf(key)
	known := o.buckets[b][in.ID()]
	switch {
	case known == nil:
		known = &object{}
		o.buckets[b][in.ID()] = known
		o.size++
	case !in.Supersedes(&known.latest):
		return nil
	default:
		known.recordSuperseded(in)
		old := revisionHash(key, known.latest.Revision)
		o.sum ^= old
		o.hashes[b] ^= uint32(old >> 32)
	}
	sum := revisionHash(key, in.Revision)
	o.sum ^= sum
	o.hashes[b] ^= uint32(sum >> 32)
	*o.seq++
	known.seq = *o.seq
	known.latest = *in
	o.validate(known)
	o.latest = known.seq
	return known
}

// recordSuperseded records that in supersedes the latest revision. Revisions of an
// earlier era are forgotten with the first one of a later era.
func (k *object) recordSuperseded(in *config.Object) {
	if config.EraOf(in.Revision) != config.EraOf(k.latest.Revision) {
		k.superseded = nil
		return
	}
	if len(k.superseded) == maxSuperseded {
		k.superseded = slices.Delete(k.superseded, 0, 1)
	}
	k.superseded = append(k.superseded, supersededRevisionOf(&k.latest))
}

func supersededRevisionOf(o *config.Object) supersededRevision {
	return supersededRevision{revision: config.StoreRevision(o.Revision), value: xxhash.Sum64(o.Value)}
}

// wasSuperseded reports whether an object of a later era is a revision that had been
// superseded before the store was restored.
func (o *objects) wasSuperseded(in *config.Object) bool {
	known := o.get(in.ID())
	return known != nil && !in.Deleted && config.EraOf(in.Revision) > config.EraOf(known.latest.Revision) &&
		slices.Contains(known.superseded, supersededRevisionOf(in))
}

// validate puts the latest revision in force if it is valid, and sets its problem
// otherwise.
func (o *objects) validate(k *object) {
	k.problem = nil
	copied := k.latest
	if k.latest.Deleted {
		if k.latest.Kind == config.KindKeys {
			k.problem = errKeysDeleted
			return
		}
		k.valid = &copied
		return
	}
	v, err := config.Parse(&k.latest)
	if err != nil {
		k.problem = err
		return
	}
	k.valid = &copied
	switch v := v.(type) {
	case *config.Service:
		k.service = v.ID
	case *config.Zone:
		o.regions[v.ID] = v.Region
	}
}

// inForce returns the last valid revisions and the problems of invalid latest
// ones, both ordered by identity.
func (o *objects) inForce() ([]config.Object, []config.Problem) {
	var valid []config.Object
	var problems []config.Problem
	for i := range o.buckets {
		for id, k := range o.buckets[i] {
			if k.valid != nil {
				valid = append(valid, *k.valid)
			}
			if k.problem != nil {
				problems = append(problems, config.Problem{ID: id, Revision: k.latest.Revision, Err: k.problem})
			}
		}
	}
	slices.SortFunc(valid, func(x, y config.Object) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	slices.SortFunc(problems, func(x, y config.Problem) int {
		return cmp.Or(cmp.Compare(x.ID.Kind, y.ID.Kind), cmp.Compare(x.ID.Name, y.ID.Name))
	})
	return valid, problems
}
