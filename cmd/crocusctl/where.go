package main

import (
	"context"
	"net/netip"
	"os"

	"github.com/go-faster/errors"

	"crocusnotch/internal/ctl"
	"crocusnotch/internal/wire"
)

// errInvalidAddress is returned for an argument that is not an IPv4 address and port.
var errInvalidAddress = errors.New("must be an IPv4 address and port")

func (c *command) whereCommand() subcommand {
	s := c.newSubcommand("where", "show where a new flow to a route's address would go now, and why", c.where).forAnyTransport()
	s.cmd.AddPositionalValue(&c.name, "ADDRESS", 1, true, "address and port of the route")
	s.cmd.String(&c.caller, "", "caller", "address and port of the caller (default: an example)")
	s.cmd.String(&c.entry, "", "entry", "control or data address of the entry (default: the first seed that answers)")
	s.cmd.Bool(&c.json, "", "json", "write JSON")
	return s
}

func (c *command) where(ctx context.Context) error {
	if _, err := parseAddress("ADDRESS", c.name); err != nil {
		return err
	}
	var entry netip.AddrPort
	var err error
	if c.entry != "" {
		if entry, err = parseAddress("--entry", c.entry); err != nil {
			return err
		}
	}
	if c.caller != "" {
		if _, err = parseAddress("--caller", c.caller); err != nil {
			return err
		}
	}
	r, err := ctl.Where(ctx, c.call, c.settings.Seeds, entry, wire.WhereParams{Address: c.name, Caller: c.caller})
	if err != nil {
		return err
	}
	if c.json {
		return ctl.WriteWhereJSON(os.Stdout, &r)
	}
	ctl.WriteWhere(os.Stdout, &r, c.caller != "")
	return nil
}

func parseAddress(argument, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || !a.Addr().Is4() {
		return netip.AddrPort{}, errors.Wrapf(errInvalidAddress, "%s %q", argument, value)
	}
	return a, nil
}
