// Package soak runs the entry and agent programs for passthrough flows as
// separate processes, injects random faults from outside, and checks the guarantees from what callers
// and upstreams receive. docs/operators/soak.md describes how to run it.
package soak
