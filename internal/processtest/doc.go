// Package processtest holds the tests that run entries and agents as separate
// operating-system processes and kill and pause them during traffic.
package processtest
