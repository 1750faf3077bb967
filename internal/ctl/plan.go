// Package ctl holds the operators' commands and queries: it changes
// configuration objects in the platform's store and asks the fleet's processes
// what they do.
package ctl

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// Action is what a change does to an object.
type Action string

// Actions of changes.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
)

// Change is one object to write.
type Change struct {
	ID       config.ID
	Action   Action
	Expected uint64 // revision that the change is conditional on, 0 for a creation
	Before   []byte // JSON
	After    []byte // JSON, nil for a deletion
}

// Plan compares the file with the objects in the store and returns the changes
// that make the store hold what the file says. Services and zones that the
// file lacks are deleted only with prune. Whether a zone is out is kept as the
// store has it. The error is a *config.InvalidError when the result would not
// be valid as a whole.
func Plan(f *config.File, stored []config.Object, prune bool) ([]Change, error) {
	p := planner{stored: index(stored), wanted: map[config.ID][]byte{}}
	for i := range f.Zones {
		if err := p.wantZone(f.Zones[i]); err != nil {
			return nil, err
		}
	}
	for i := range f.Services {
		if err := p.want(config.KindService, f.Services[i].Name, &f.Services[i]); err != nil {
			return nil, err
		}
	}
	changes := p.changes(prune)
	return changes, p.check(changes)
}

type planner struct {
	stored map[config.ID]config.Object
	wanted map[config.ID][]byte
}

func index(objects []config.Object) map[config.ID]config.Object {
	out := map[config.ID]config.Object{}
	for _, o := range objects {
		if !o.Deleted {
			out[o.ID()] = o
		}
	}
	return out
}

func (p *planner) want(kind, name string, v any) error {
	value, err := config.Encode(v)
	if err != nil {
		return err
	}
	p.wanted[config.ID{Kind: kind, Name: name}] = value
	return nil
}

func (p *planner) wantZone(z config.Zone) error {
	old, ok := p.stored[config.ID{Kind: config.KindZone, Name: z.Name}]
	if !ok {
		return p.want(config.KindZone, z.Name, &z)
	}
	var current config.Zone
	if err := config.Decode(old.Value, &current); err != nil {
		return errors.Wrap(err, "zone "+z.Name+" in the store")
	}
	z.Out = current.Out
	return p.want(config.KindZone, z.Name, &z)
}

func (p *planner) changes(prune bool) []Change {
	var out []Change
	for id, value := range p.wanted {
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
		_, wanted := p.wanted[id]
		if wanted || (id.Kind != config.KindService && id.Kind != config.KindZone) {
			continue
		}
		out = append(out, Change{ID: id, Action: ActionDelete, Expected: old.Revision, Before: old.Value})
	}
	return out
}

// compareChanges orders deletions first, so that what they free can be taken
// again, then zones before services.
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

// check builds the configuration that the changes lead to.
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
	return invalid(problems)
}

func invalid(problems []config.Problem) error {
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
