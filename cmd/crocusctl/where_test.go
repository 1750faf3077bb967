package main

import (
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/wire"
)

// Guards against a failure that scripts take for an answer, and against a malformed
// argument that reaches an entry.
func TestExitCodesOfWhere(t *testing.T) {
	errDown := errors.New("connection refused")
	for name, tt := range map[string]struct {
		c    command
		err  error // of the call
		code int
		says string
	}{
		"malformed address": {c: command{name: "bells"}, code: exitInvalid, says: `ADDRESS "bells": must be`},
		"IPv6 address":      {c: command{name: "[::1]:443"}, code: exitInvalid, says: "ADDRESS"},
		"malformed caller":  {c: command{name: "198.18.0.1:443", caller: "x"}, code: exitInvalid, says: "--caller"},
		"malformed entry":   {c: command{name: "198.18.0.1:443", entry: "10.1.0.10"}, code: exitInvalid, says: "--entry"},
		"unknown route":     {c: command{name: "198.18.0.1:443"}, code: exitFailed, says: "no route has this address"},
		"unreachable entry": {c: command{name: "198.18.0.1:443"}, err: errDown, code: exitFailed, says: "can't be reached: connection refused"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.c.settings = config.Control{Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}}
			calls := 0
			tt.c.call = func(_ context.Context, _ netip.AddrPort, _ string, _, result any) error {
				calls++
				result.(*wire.WhereResult).UnknownRoute = true
				return tt.err
			}
			var out strings.Builder
			is.Equal(exitCode(&out, tt.c.where(context.Background())), tt.code)
			is.True(strings.Contains(out.String(), tt.says))
			is.Equal(calls > 0, tt.code == exitFailed)
		})
	}
}
