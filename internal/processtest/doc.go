// Package processtest tests entries and agents that run as separate operating-system
// processes and are killed, paused and stopped during traffic.
package processtest
