// Package docstest tests the documentation: its examples must be valid settings or
// configuration, and the tests that it names must exist.
package docstest
