// Command standin3 runs one case of the third review: it starts the programs of the system
// and has the stand-ins of the platform, the endpoints and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(l *lab) error{}

func main() {
	name := flag.String("case", "", "the case to run")
	root := flag.String("root", ".", "the repository")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *root, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, root, record string, trouble bool) int {
	c := cases[name]
	if c == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	l, err := newLab(root, record, trouble, []string{"za", "zb"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.finish()
	if err := c(l); err != nil {
		l.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.Sleep(200 * time.Millisecond)
	counts := map[outcome]int64{}
	for _, c := range l.clients {
		for _, o := range []outcome{served, wasReset, noAnswer, notOpened} {
			if n, ok := c.outcomes.Load(o); ok {
				counts[o] += n.(interface{ Load() int64 }).Load()
			}
		}
	}
	l.log("requests: %v", counts)
	fmt.Println("requests:", counts)
	if counts[served] == 0 {
		return 2
	}
	for _, b := range l.broken[:min(len(l.broken), 5)] {
		fmt.Println(b)
	}
	if len(l.broken) > 0 {
		fmt.Println("broken", len(l.broken), "times")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
