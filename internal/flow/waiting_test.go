package flow

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func waitingOpening(i int, c Class) WaitingOpening {
	return WaitingOpening{Key: testKey(i), Meta: Metadata{Class: c}, Since: start.Add(time.Duration(i) * time.Millisecond)}
}

// freeRoom admits openings of every class.
var freeRoom = Room{Slots: 2, ServiceTime: 25 * time.Millisecond}

// takeAll returns the keys of all waiting openings in the order of their places.
func takeAll(w *WaitingOpenings) []Key {
	var keys []Key
	for {
		o, ok := w.Next(freeRoom)
		if !ok {
			return keys
		}
		keys = append(keys, o.Key)
	}
}

func TestWaitingOpeningsAreOrderedByPriorityThenNewestFirst(t *testing.T) {
	is := is.New(t)
	var w WaitingOpenings
	for i, c := range []Class{class(2, 250), class(1, 250), {}, class(1, 250), class(2, 250), class(0, 250)} {
		_, full := w.Add(waitingOpening(i, c))
		is.True(!full)
	}
	late := waitingOpening(6, class(2, 250))
	late.Copies = 2 // its first copy is 0.6 s old
	w.Add(late)
	// The fourth place goes to the lowest priority, which is that of no class.
	is.Equal(takeAll(&w), []Key{testKey(5), testKey(3), testKey(1), testKey(2), testKey(4), testKey(0), testKey(6)})
}

// A full queue refuses the last in order: the oldest of the lowest priority, or the new
// opening itself if all others precede it.
func TestFullQueueRefusesTheLastInOrder(t *testing.T) {
	is := is.New(t)
	var w WaitingOpenings
	for i := range maxWaitingOpenings {
		_, full := w.Add(waitingOpening(i, class(2, 250)))
		is.True(!full)
	}
	refused, full := w.Add(waitingOpening(100, class(1, 250)))
	is.True(full)
	is.Equal(refused.Key, testKey(0))
	refused, full = w.Add(waitingOpening(101, Class{}))
	is.True(full)
	is.Equal(refused.Key, testKey(101))
	is.Equal(w.Len(), maxWaitingOpenings)
}

func TestCopyOfAWaitingOpeningCountsOnce(t *testing.T) {
	is := is.New(t)
	var w WaitingOpenings
	is.True(!w.Update(testKey(1), testEndpoint(1), nil))
	w.Add(waitingOpening(1, class(1, 250)))
	is.True(w.Update(testKey(1), testEndpoint(2), []byte{1}))
	is.Equal(w.Len(), 1)
	o, ok := w.Remove(testKey(1))
	is.True(ok)
	is.Equal(o.Entry, testEndpoint(2)) // which is answered
	is.Equal(o.Since, start.Add(time.Millisecond))
	_, ok = w.Remove(testKey(1))
	is.True(!ok)
}

// On a slow upstream a download with a target of 800 ms may still wait where an unsafe
// request may not: it must not take the places that the unsafe request waits for.
func TestLongTargetDoesNotOvertakeAHigherPriority(t *testing.T) {
	is := is.New(t)
	var w WaitingOpenings
	download, unsafe := class(2, 800), class(1, 250)
	w.Add(waitingOpening(1, download))
	w.Add(waitingOpening(2, unsafe))
	is.True(w.Precedes(download))
	is.True(!w.Precedes(unsafe))
	room := Room{Slots: 2, ServiceTime: 150 * time.Millisecond}
	room.Busy = room.Limit(unsafe, false)
	is.True(room.Allows(download, false))
	_, ok := w.Next(room)
	is.True(!ok)
	w.Remove(testKey(2))
	o, ok := w.Next(room)
	is.True(ok)
	is.Equal(o.Key, testKey(1))
}

// Urgent openings that do not wait take every place above the limit of low priorities:
// without the guaranteed place the low priority would never get one.
func TestLowPriorityIsNotStarved(t *testing.T) {
	is := is.New(t)
	var w WaitingOpenings
	low := class(2, 250)
	w.Add(waitingOpening(1, low))
	w.Add(waitingOpening(2, low))
	room := freeRoom
	room.Busy = room.Limit(low, true) - 1 // one place, for urgent openings only
	for range guaranteedEvery - 1 {
		_, ok := w.Next(room)
		is.True(!ok)
		w.CountPlace(class(1, 250)) // taken by an urgent opening that did not wait
	}
	o, ok := w.Next(room)
	is.True(ok)
	is.Equal(o.Key, testKey(1)) // the oldest
	_, ok = w.Next(room)
	is.True(!ok)
}

// expectedNext returns which of the waiting openings gets the next place, and whether it
// is the guaranteed one.
func expectedNext(waiting map[Key]WaitingOpening, passed int, room Room) (o WaitingOpening, ok, guaranteed bool) {
	inOrder := slices.SortedFunc(maps.Values(waiting), func(a, b WaitingOpening) int {
		return cmp.Or(cmp.Compare(a.Meta.Class.rank(), b.Meta.Class.rank()), cmp.Compare(a.Copies, b.Copies), b.Since.Compare(a.Since))
	})
	if len(inOrder) == 0 {
		return WaitingOpening{}, false, false
	}
	if last := inOrder[len(inOrder)-1]; passed >= guaranteedEvery-1 && room.Allows(last.Meta.Class, true) {
		return last, true, true
	}
	for _, o := range inOrder {
		if o.Meta.Class.rank() == inOrder[0].Meta.Class.rank() && room.Allows(o.Meta.Class, false) {
			return o, true, false
		}
	}
	return WaitingOpening{}, false, false
}

// For any order of events the queue is bounded, each opening leaves it once, and places
// go by priority, then the newest first, but for the guaranteed ones: three higher
// priorities in a row are followed by the oldest of the lowest.
func TestWaitingOpeningsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w WaitingOpenings
		model := map[Key]WaitingOpening{}
		count, passed := 0, 0
		leave := func(o WaitingOpening) {
			if _, waits := model[o.Key]; !waits {
				t.Fatalf("%s left twice or never waited", o.Key)
			}
			delete(model, o.Key)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				count++
				o := waitingOpening(count, class(rapid.IntRange(0, 3).Draw(t, "priority"), 250*rapid.IntRange(0, 3).Draw(t, "target")))
				o.Copies = uint32(rapid.IntRange(0, 2).Draw(t, "copies"))
				model[o.Key] = o
				if refused, full := w.Add(o); full {
					for _, other := range model {
						if other.Meta.Class.rank() > refused.Meta.Class.rank() {
							t.Fatalf("refused %s before a lower priority", refused.Key)
						}
					}
					leave(refused)
				}
			},
			"remove": func(t *rapid.T) {
				if o, ok := w.Remove(testKey(rapid.IntRange(0, count).Draw(t, "key"))); ok {
					leave(o)
				}
			},
			"refuse": func(t *rapid.T) {
				drop := rapid.IntRange(0, count).Draw(t, "until")
				for _, o := range w.Refuse(func(o *WaitingOpening) Refusal {
					if o.Since.After(start.Add(time.Duration(drop) * time.Millisecond)) {
						return RefusalNone
					}
					return RefusalBusy
				}) {
					leave(o.WaitingOpening)
				}
			},
			"take": func(t *rapid.T) {
				room := freeRoom
				room.Busy = rapid.IntRange(0, 6).Draw(t, "busy")
				want, wanted, guaranteed := expectedNext(model, passed, room)
				o, ok := w.Next(room)
				if ok != wanted || o.Key != want.Key {
					t.Fatalf("the place went to %s (%v), expected %s (%v)", o.Key, ok, want.Key, wanted)
				}
				if !ok {
					return
				}
				lowest := 0
				for _, other := range model {
					lowest = max(lowest, other.Meta.Class.rank())
				}
				if passed++; guaranteed || o.Meta.Class.rank() == lowest {
					passed = 0
				}
				leave(o)
			},
			"": func(t *rapid.T) {
				if w.Len() != len(model) || w.Len() > maxWaitingOpenings {
					t.Fatalf("%d openings wait, %d expected", w.Len(), len(model))
				}
			},
		})
	})
}
