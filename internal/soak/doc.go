// Package soak runs the programs of passed-through flows as separate processes
// under random faults from outside, and checks the promises from what callers and
// upstreams see. docs/operators/soak.md tells how to run it.
package soak
