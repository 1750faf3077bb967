package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// WriteDiff writes a line for the change and one for each differing value, with +
// for the new and - for the old one.
func WriteDiff(w io.Writer, c Change) {
	_, _ = fmt.Fprintf(w, "%s %s %s\n", c.Action, c.ID.Kind, c.ID.Name)
	before, after := fields(c.Before), fields(c.After)
	for _, path := range paths(before, after) {
		old, hadOld := before[path]
		now, hasNow := after[path]
		if hadOld && hasNow && old == now {
			continue
		}
		if hadOld {
			_, _ = fmt.Fprintf(w, "  - %s: %s\n", path, old)
		}
		if hasNow {
			_, _ = fmt.Fprintf(w, "  + %s: %s\n", path, now)
		}
	}
}

// fields flattens a JSON document into paths and values.
func fields(doc []byte) map[string]string {
	out := map[string]string{}
	var v any
	if json.Unmarshal(doc, &v) == nil {
		flatten(out, "", v)
	}
	return out
}

func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			flatten(out, join(path, name), member)
		}
	case []any:
		for i, element := range v {
			flatten(out, path+"["+strconv.Itoa(i)+"]", element)
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			panic(err) // a decoded JSON value can always be encoded
		}
		out[path] = string(text)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// paths returns the paths of both maps in order.
func paths(a, b map[string]string) []string {
	var out []string
	for path := range a {
		out = append(out, path)
	}
	for path := range b {
		if _, ok := a[path]; !ok {
			out = append(out, path)
		}
	}
	slices.Sort(out)
	return out
}
