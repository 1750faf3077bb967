// Command standin plays one case of the review: it starts the project's programs, and
// stands in for the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(w *world, trouble bool) error{
	"restart":       restartOfNodes,
	"restart-twice": restartTwice,
	"fronts":        restartOfFronts,
	"drain":         drainWithPorts,
	"evacuate":      evacuateWithPorts,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "standin CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitFailed)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(run(play, root, os.Args[3]))
}

func run(play func(*world, bool) error, root, record string) int {
	w, err := newWorld(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	if err := play(w, trouble); err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	names := []string{}
	for name := range w.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		w.recordLocked("total: %s: %d", name, w.counts[name])
		fmt.Printf("%s: %d\n", name, w.counts[name])
	}
	fmt.Printf("played %.0f s, rule broken %d times\n", time.Since(w.started).Seconds(), len(w.breaks))
	for i, b := range w.breaks {
		if i == 3 {
			break
		}
		fmt.Println(b)
	}
	if len(w.breaks) > 0 {
		w.recordLocked("RESULT: broken %d times", len(w.breaks))
		return exitBroken
	}
	if w.counts["requests answered"] == 0 {
		return exitFailed
	}
	w.recordLocked("RESULT: held")
	return exitHeld
}
