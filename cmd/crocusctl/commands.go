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

// subcommand is a subcommand of the parser with the function that it runs.
type subcommand struct {
	cmd *flaggy.Subcommand
	run func(context.Context) error
	// anyTransport marks a command that also works on passthrough fleets, for
	// which crocusctl has no store.
	anyTransport bool
}

func (c *command) subcommands() []subcommand {
	c.subs = []subcommand{
		c.applyCommand(),
		c.newSubcommand("get", "list the services and zones in the store", c.get),
		c.newSubcommand("status", "show every process, its configuration and the flows and streams that a stop would break", c.status).forAnyTransport(),
		c.newNamedSubcommand("explain", "NAME", "show recent changes of a service, upstream, flow, zone or process and their causes", c.explain).forAnyTransport(),
		c.whereCommand(),
		c.zoneCommand(),
		c.keysCommand(),
	}
	return c.subs
}

// forAnyTransport marks a command that also works on passthrough fleets.
func (s subcommand) forAnyTransport() subcommand {
	s.anyTransport = true
	return s
}

func (c *command) newSubcommand(name, description string, run func(context.Context) error) subcommand {
	cmd := flaggy.NewSubcommand(name)
	cmd.Description = description
	return subcommand{cmd: cmd, run: run}
}

func (c *command) newNamedSubcommand(name, argument, description string, run func(context.Context) error) subcommand {
	s := c.newSubcommand(name, description, run)
	s.cmd.AddPositionalValue(&c.name, argument, 1, true, description)
	return s
}

func (c *command) applyCommand() subcommand {
	s := c.newSubcommand("apply", "write the services and zones of a file to the store", c.apply)
	s.cmd.AddPositionalValue(&c.file, "FILE", 1, true, "JSON file with zones and services")
	s.cmd.Bool(&c.prune, "", "prune", "delete services and zones that are not in the file")
	s.cmd.Bool(&c.dryRun, "n", "dry-run", "show the changes without making them")
	return s
}

func (c *command) zoneCommand() subcommand {
	out := c.newNamedSubcommand("out", "ZONE", "take an availability zone out of service", c.setZoneOut(true))
	in := c.newNamedSubcommand("in", "ZONE", "take an availability zone back into service", c.setZoneOut(false))
	return c.newGroup("zone", "take an availability zone out or in", out, in)
}

func (c *command) keysCommand() subcommand {
	list := c.newSubcommand("list", "list key generations and the number of flows that use each", c.listKeys)
	add := c.newSubcommand("add", "add a key generation that is accepted but not yet used to sign", c.addKey)
	sign := c.newGenerationSubcommand("sign", "sign with a generation that every process already accepts", c.signKey)
	retire := c.newGenerationSubcommand("retire", "remove a generation that no flow uses", c.retireKey)
	retire.cmd.Bool(&c.force, "", "force", "retire it even if flows use it; those flows break")
	return c.newGroup("keys", "rotate the keys of the fleet", list, add, sign, retire)
}

func (c *command) newGenerationSubcommand(name, description string, run func(context.Context) error) subcommand {
	s := c.newSubcommand(name, description, run)
	s.cmd.AddPositionalValue(&c.key, "GENERATION", 1, true, "number of the generation")
	return s
}

// newGroup returns a command that runs whichever of its parts the command line
// selects.
func (c *command) newGroup(name, description string, parts ...subcommand) subcommand {
	g := c.newSubcommand(name, description, nil)
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

// execute writes the changes in order and stops at the first failure. Each change
// writes one object, and changes made before a failure are not rolled back.
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
			return errors.Wrapf(err, "%d of %d changes made; %s %s failed", i, len(changes), change.ID.Kind, change.ID.Name)
		}
		fmt.Printf("  in the store at revision %s\n", config.FormatRevision(o.Revision))
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

func (c *command) setZoneOut(out bool) func(context.Context) error {
	return func(ctx context.Context) error {
		changes, err := ctl.PlanZone(ctx, c.store, c.name, out)
		if err != nil {
			return err
		}
		return c.execute(ctx, changes)
	}
}

// status compares the configuration of each process with the store. Without a
// store, or if the store cannot be read, it compares the entries with the newest
// entry.
func (c *command) status(ctx context.Context) error {
	replies, err := ctl.CollectStatus(ctx, c.call, c.settings.Seeds)
	if err != nil {
		return err
	}
	expected := ctl.RevisionsOfEntries(replies)
	if c.store == nil {
		ctl.WriteStatus(os.Stdout, replies, expected)
		return nil
	}
	objects, err := ctl.ListConfigObjects(ctx, c.store)
	if err != nil {
		fmt.Println("the store cannot be read; compared with the newest entry:", err)
	} else {
		expected = ctl.RevisionsOf(objects)
	}
	ctl.WriteStatus(os.Stdout, replies, expected)
	return nil
}

func (c *command) explain(ctx context.Context) error {
	events, unanswered, err := ctl.Explain(ctx, c.call, c.settings.Seeds, c.name)
	if err != nil {
		return err
	}
	ctl.WriteEvents(os.Stdout, events, unanswered)
	return nil
}

func (c *command) listKeys(ctx context.Context) error {
	keys, err := ctl.Keys(ctx, c.store)
	if err != nil {
		return err
	}
	replies, err := ctl.CollectStatus(ctx, c.call, c.settings.Seeds)
	if err != nil {
		fmt.Println("the numbers of flows are unknown:", err)
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
	id, err := c.parseGeneration()
	if err != nil {
		return err
	}
	return ctl.SetSigningKey(ctx, c.store, id)
}

func (c *command) retireKey(ctx context.Context) error {
	id, err := c.parseGeneration()
	if err != nil {
		return err
	}
	if !c.force {
		if err := c.checkKeyUnused(ctx, id); err != nil {
			return err
		}
	}
	return ctl.RetireKey(ctx, c.store, id)
}

// checkKeyUnused returns an error if a process signs with the generation, has
// flows that use it or does not answer.
func (c *command) checkKeyUnused(ctx context.Context, id uint8) error {
	replies, err := ctl.CollectStatus(ctx, c.call, c.settings.Seeds)
	if err != nil {
		return err
	}
	return ctl.CheckKeyUnused(replies, id)
}

func (c *command) parseGeneration() (uint8, error) {
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
