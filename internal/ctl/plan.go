// Package ctl implements the operators' commands and queries: it changes
// configuration objects in the platform's store and queries the status and events
// of the fleet's processes.
package ctl

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// Action is the kind of a change.
type Action string

// Actions of changes.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
)

// Change is the creation, update or deletion of one object.
type Change struct {
	ID       config.ID
	Action   Action
	Expected uint64 // current revision of the object, 0 for a creation; another one is a conflict
	Before   []byte // JSON
	After    []byte // JSON, nil for a deletion
}

// Plan compares the file with the objects in the store and returns the changes
// that bring the store in line with the file. Services and zones that are not in
// the file are deleted only with prune. Zones in the store keep their
// out-of-service state. The error is a *config.InvalidError if the resulting
// configuration would be invalid.
func Plan(f *config.File, stored []config.Object, prune bool) ([]Change, error) {
	p := planner{stored: liveObjects(stored), desired: map[config.ID][]byte{}}
	for i := range f.Zones {
		if err := p.addZone(f.Zones[i]); err != nil {
			return nil, err
		}
	}
	for i := range f.Services {
		if err := p.add(config.KindService, f.Services[i].Name, &f.Services[i]); err != nil {
			return nil, err
		}
	}
	changes := p.changes(prune)
	return changes, p.check(changes)
}

type planner struct {
	stored  map[config.ID]config.Object
	desired map[config.ID][]byte
}

// liveObjects returns the objects that are not deleted, by ID.
func liveObjects(objects []config.Object) map[config.ID]config.Object {
	out := map[config.ID]config.Object{}
	for _, o := range objects {
		if !o.Deleted {
			out[o.ID()] = o
		}
	}
	return out
}

func (p *planner) add(kind, name string, v any) error {
	value, err := config.Encode(v)
	if err != nil {
		return err
	}
	p.desired[config.ID{Kind: kind, Name: name}] = value
	return nil
}

// addZone adds the zone with the out-of-service state that the store has.
func (p *planner) addZone(z config.Zone) error {
	old, ok := p.stored[config.ID{Kind: config.KindZone, Name: z.Name}]
	if !ok {
		return p.add(config.KindZone, z.Name, &z)
	}
	var current config.Zone
	if err := config.Decode(old.Value, &current); err != nil {
		return errors.Wrap(err, "zone "+z.Name+" in the store")
	}
	z.Out = current.Out
	return p.add(config.KindZone, z.Name, &z)
}

func (p *planner) changes(prune bool) []Change {
	var out []Change
	for id, value := range p.desired {
		old, ok := p.stored[id]
		switch {
		case !ok:
			out = append(out, Change{ID: id, Action: ActionCreate, After: value})
		case !bytes.Equal(old.Value, value):
			out = append(out, Change{ID: id, Action: ActionUpdate, Expected: old.Revision, Before: old.Value, After: value})
		}
	}
	if prune {
		out = append(out, p.deletions()...)
	}
	slices.SortFunc(out, compareChanges)
	return out
}

func (p *planner) deletions() []Change {
	var out []Change
	for id, old := range p.stored {
		_, keep := p.desired[id]
		if keep || (id.Kind != config.KindService && id.Kind != config.KindZone) {
			continue
		}
		out = append(out, Change{ID: id, Action: ActionDelete, Expected: old.Revision, Before: old.Value})
	}
	return out
}

// compareChanges orders deletions first, so that the IDs and addresses they free
// can be reused, then zones before services.
func compareChanges(a, b Change) int {
	if d := rank(a) - rank(b); d != 0 {
		return d
	}
	if a.ID.Name < b.ID.Name {
		return -1
	}
	return 1
}

func rank(c Change) int {
	switch {
	case c.Action == ActionDelete:
		return 0
	case c.ID.Kind == config.KindZone:
		return 1
	}
	return 2
}

// check returns an error if the configuration after the changes would be invalid.
func (p *planner) check(changes []Change) error {
	after := map[config.ID]config.Object{}
	var highest uint64
	for id, o := range p.stored {
		after[id] = o
		highest = max(highest, o.Revision)
	}
	for _, c := range changes {
		highest++
		if c.Action == ActionDelete {
			delete(after, c.ID)
			continue
		}
		after[c.ID] = config.Object{Kind: c.ID.Kind, Name: c.ID.Name, Revision: highest, Value: c.After}
	}
	objects := make([]config.Object, 0, len(after))
	for _, o := range after {
		objects = append(objects, o)
	}
	_, problems := config.Build(objects)
	return invalidError(problems)
}

func invalidError(problems []config.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	out := &config.InvalidError{}
	for _, p := range problems {
		path := fmt.Sprintf("%s %s", p.ID.Kind, p.ID.Name)
		out.Fields = append(out.Fields, config.FieldError{Path: path, Reason: p.Err.Error()})
	}
	return out
}
