// Package docstest holds the tests of the documentation: its examples are read
// by the code that they are for, and the tests it names exist.
package docstest
