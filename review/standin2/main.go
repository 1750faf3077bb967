//go:build review

// Command standin2 runs the cases of the second review: a small deployment of the
// system's programs with stand-ins for the store, the routers, the endpoints and the
// clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"crocusnotch/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(w *world, trouble bool){
	"foreign-heartbeat":        foreignHeartbeat,
	"evacuation-after-restore": evacuationAfterRestore,
	"delayed-first-heartbeat":  delayedFirstHeartbeat,
	"delayed-heartbeat":        delayedHeartbeat,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(cannotRun)
			if !ok {
				panic(r)
			}
			fmt.Fprintln(os.Stderr, "the case can't run:", c.err)
			code = exitCannotRun
		}
	}()
	repo, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	defer os.RemoveAll(dir)
	record, err := os.Create(os.Args[2])
	must(err)
	defer record.Close()
	subnet, err := freeSubnet()
	must(err)
	w := &world{repo: repo, dir: dir, subnet: subnet, started: time.Now(), store: platformtest.New(), record: record}
	defer w.stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.stop()
		os.Exit(exitCannotRun)
	}()
	cases[os.Args[1]](w, trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(record, "%d violations\n", len(w.broken))
	fmt.Printf("%s: %d violations, trouble %v, record %s\n", os.Args[1], len(w.broken), trouble, filepath.Base(os.Args[2]))
	for i, b := range w.broken {
		if i < 3 {
			fmt.Println(" ", b)
		}
	}
	if len(w.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
