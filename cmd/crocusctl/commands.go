package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"crocusnotch/internal/config"
	"crocusnotch/internal/ctl"
)

// subcommand is one command and what it runs.
type subcommand struct {
	cmd *flaggy.Subcommand
	run func(context.Context) error
	// anywhere marks a command that asks the processes and no store.
	anywhere bool
}

func (c *command) subcommands() []subcommand {
	c.subs = []subcommand{
		c.applyCommand(),
		c.plain("get", "list services and zones as the store has them", c.get),
		c.plain("status", "show every process, its configuration and what a stop would cut", c.status).onAnyFleet(),
		c.named("explain", "NAME", "show why a service, upstream, flow, zone or process is as it is", c.explain).onAnyFleet(),
		c.zoneCommand(),
		c.keysCommand(),
	}
	return c.subs
}

// onAnyFleet marks a command that needs no store of the product's own.
func (s subcommand) onAnyFleet() subcommand {
	s.anywhere = true
	return s
}

func (c *command) plain(name, description string, run func(context.Context) error) subcommand {
	cmd := flaggy.NewSubcommand(name)
	cmd.Description = description
	return subcommand{cmd: cmd, run: run}
}

func (c *command) named(name, argument, description string, run func(context.Context) error) subcommand {
	s := c.plain(name, description, run)
	s.cmd.AddPositionalValue(&c.name, argument, 1, true, description)
	return s
}

func (c *command) applyCommand() subcommand {
	s := c.plain("apply", "make the store hold the services and zones of a file", c.apply)
	s.cmd.AddPositionalValue(&c.file, "FILE", 1, true, "JSON file with zones and services")
	s.cmd.Bool(&c.prune, "", "prune", "delete services and zones that the file lacks")
	s.cmd.Bool(&c.dryRun, "n", "dry-run", "show the changes only")
	return s
}

func (c *command) zoneCommand() subcommand {
	out := c.named("out", "ZONE", "take an availability zone out of service", c.zone(true))
	in := c.named("in", "ZONE", "take an availability zone back into service", c.zone(false))
	return c.group("zone", "take an availability zone out or in", out, in)
}

func (c *command) keysCommand() subcommand {
	list := c.plain("list", "list key generations and the flows that carry them", c.listKeys)
	add := c.plain("add", "add a key generation that is accepted but not yet used to sign", c.addKey)
	sign := c.keyed("sign", "sign with a generation that is in force everywhere", c.signKey)
	retire := c.keyed("retire", "remove a generation that no flow carries", c.retireKey)
	retire.cmd.Bool(&c.force, "", "force", "retire it although flows carry it; they break")
	return c.group("keys", "rotate the keys of the fleet", list, add, sign, retire)
}

func (c *command) keyed(name, description string, run func(context.Context) error) subcommand {
	s := c.plain(name, description, run)
	s.cmd.AddPositionalValue(&c.key, "GENERATION", 1, true, "number of the generation")
	return s
}

// group makes a command that runs the one of its parts that was given.
func (c *command) group(name, description string, parts ...subcommand) subcommand {
	g := c.plain(name, description, nil)
	for _, part := range parts {
		g.cmd.AttachSubcommand(part.cmd, 1)
	}
	g.run = func(ctx context.Context) error {
		for _, part := range parts {
			if part.cmd.Used {
				return part.run(ctx)
			}
		}
		return errUsage
	}
	return g
}

func (c *command) apply(ctx context.Context) error {
	var f config.File
	if err := config.ReadFile(c.file, &f); err != nil {
		return err
	}
	stored, err := ctl.ListServicesAndZones(ctx, c.store)
	if err != nil {
		return err
	}
	changes, err := ctl.Plan(&f, stored, c.prune)
	if err != nil {
		return err
	}
	return c.execute(ctx, changes)
}

// execute writes the changes in order and stops at the first that fails. Each
// object is a change of its own: those before a failure stay in force.
func (c *command) execute(ctx context.Context, changes []ctl.Change) error {
	if len(changes) == 0 {
		fmt.Println("nothing to change")
		return nil
	}
	for i, change := range changes {
		ctl.WriteDiff(os.Stdout, change)
		if c.dryRun {
			continue
		}
		o, err := ctl.Execute(ctx, c.store, change)
		if err != nil {
			return errors.Wrapf(err, "%d of %d changes are made; %s %s is not", i, len(changes), change.ID.Kind, change.ID.Name)
		}
		fmt.Printf("  in the store at revision %d\n", o.Revision)
	}
	return nil
}

func (c *command) get(ctx context.Context) error {
	objects, err := ctl.ListServicesAndZones(ctx, c.store)
	if err != nil {
		return err
	}
	ctl.WriteObjects(os.Stdout, objects)
	return nil
}

func (c *command) zone(out bool) func(context.Context) error {
	return func(ctx context.Context) error {
		changes, err := ctl.PlanZone(ctx, c.store, c.name, out)
		if err != nil {
			return err
		}
		return c.execute(ctx, changes)
	}
}

// status compares the processes with the store, or the entries with the
// newest one while the store is out.
func (c *command) status(ctx context.Context) error {
	replies, err := ctl.CollectStatus(ctx, c.call, c.conf.Seeds)
	if err != nil {
		return err
	}
	due := ctl.RevisionsOfEntries(replies)
	if c.store == nil {
		ctl.WriteStatus(os.Stdout, replies, due)
		return nil
	}
	objects, err := ctl.ListConfigObjects(ctx, c.store)
	if err != nil {
		fmt.Println("the store does not answer; compared with the newest entry:", err)
	} else {
		due = ctl.RevisionsOf(objects)
	}
	ctl.WriteStatus(os.Stdout, replies, due)
	return nil
}

func (c *command) explain(ctx context.Context) error {
	events, silent, err := ctl.Explain(ctx, c.call, c.conf.Seeds, c.name)
	if err != nil {
		return err
	}
	ctl.WriteEvents(os.Stdout, events, silent)
	return nil
}

func (c *command) listKeys(ctx context.Context) error {
	keys, err := ctl.Keys(ctx, c.store)
	if err != nil {
		return err
	}
	replies, err := ctl.CollectStatus(ctx, c.call, c.conf.Seeds)
	if err != nil {
		fmt.Println("flows are not known:", err)
	}
	ctl.WriteKeys(os.Stdout, keys, replies)
	return nil
}

func (c *command) addKey(ctx context.Context) error {
	id, err := ctl.AddKey(ctx, c.store)
	if err != nil {
		return err
	}
	fmt.Printf("generation %d is added\n", id)
	return nil
}

func (c *command) signKey(ctx context.Context) error {
	id, err := c.generation()
	if err != nil {
		return err
	}
	return ctl.SetSigningKey(ctx, c.store, id)
}

func (c *command) retireKey(ctx context.Context) error {
	id, err := c.generation()
	if err != nil {
		return err
	}
	if !c.force {
		if err := c.checkUnused(ctx, id); err != nil {
			return err
		}
	}
	return ctl.RetireKey(ctx, c.store, id)
}

// checkUnused refuses while a flow carries the generation or a process does
// not answer.
func (c *command) checkUnused(ctx context.Context, id uint8) error {
	replies, err := ctl.CollectStatus(ctx, c.call, c.conf.Seeds)
	if err != nil {
		return err
	}
	return ctl.CheckKeyUnused(replies, id)
}

func (c *command) generation() (uint8, error) {
	const (
		decimal = 10
		bits    = 8
	)
	id, err := strconv.ParseUint(c.key, decimal, bits)
	if err != nil {
		return 0, ctl.ErrUnknownKey
	}
	return uint8(id), nil
}
