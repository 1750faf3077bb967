package request

import (
	"os"
	"strings"
	"testing"
)

func TestCountersPageListsEachReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/counters.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Reasons() {
		if !strings.Contains(string(page), "| `"+string(r)+"` |") {
			t.Errorf("docs/operators/counters.md has no row for %s", r)
		}
	}
}
