package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func class(priority, targetMillis int) Class {
	return Class{Stated: true, Priority: uint8(priority), TargetMillis: uint16(targetMillis)}
}

func TestLimitFollowsTheTarget(t *testing.T) {
	for name, tt := range map[string]struct {
		room       Room
		class      Class
		guaranteed bool
		want       int
	}{
		// A slot finishes a request in 100 ms, so two finish 2 within 125 ms.
		"urgent":             {Room{Slots: 2, ServiceTime: 100 * time.Millisecond}, class(1, 250), false, 4},
		"low priority":       {Room{Slots: 2, ServiceTime: 100 * time.Millisecond}, class(2, 250), false, 3},
		"guaranteed place":   {Room{Slots: 2, ServiceTime: 100 * time.Millisecond}, class(2, 250), true, 4},
		"slow upstream":      {Room{Slots: 2, ServiceTime: 300 * time.Millisecond}, class(1, 250), false, 2},
		"fast upstream":      {Room{Slots: 2, ServiceTime: 22 * time.Millisecond}, class(1, 250), false, 5},
		"fast upstream, low": {Room{Slots: 2, ServiceTime: 22 * time.Millisecond}, class(2, 800), false, 4},
		"no class":           {Room{Slots: 2, ServiceTime: 25 * time.Millisecond}, Class{}, false, 4},
		"no target":          {Room{Slots: 2, ServiceTime: 25 * time.Millisecond}, class(1, 0), false, 4},
		"no target, low":     {Room{Slots: 2, ServiceTime: 25 * time.Millisecond}, class(2, 0), false, 3},
		"no service time":    {Room{Slots: 2}, class(1, 250), false, 5},
		"longest of all":     {Room{Slots: 64}, class(0, 65535), false, 67},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.room.Limit(tt.class, tt.guaranteed), tt.want)
			tt.room.Busy = tt.want - 1
			is.True(tt.room.Allows(tt.class, tt.guaranteed))
			tt.room.Busy++
			is.True(!tt.room.Allows(tt.class, tt.guaranteed))
		})
	}
}

// An opening whose caller never sends a request must not take a place for good, and a
// request must not be counted besides its reservation.
func TestReservationsEnd(t *testing.T) {
	is := is.New(t)
	var r Reservations
	r.Remove(testKey(1)) // unknown
	for i := range 4 {
		r.Add(start, testKey(i))
	}
	r.Add(start, testKey(1)) // counts once
	is.Equal(r.Count(start), 4)
	r.Remove(testKey(1))
	is.Equal(r.Count(start.Add(reservationTTL-1)), 3)
	is.Equal(r.Count(start.Add(reservationTTL)), 0)
	is.Equal(len(r.since), 0)
}

// With Room set, the class decides; the former limit must not apply beside it.
func TestAdmissionByRoom(t *testing.T) {
	is := is.New(t)
	var a Admission
	r := AdmissionRequest{
		State: UpstreamWarm, ServiceMatches: true, Slots: 2, Busy: 9, AllowBusy: true,
		Room: &Room{Busy: 4, Slots: 2, ServiceTime: 25 * time.Millisecond}, Class: class(2, 250),
	}
	is.Equal(a.Check(start, r), RefusalBusy)
	is.Equal(a.Admit(start, r), RefusalBusy)
	r.Class = class(1, 250)
	is.Equal(a.Check(start, r), RefusalNone)
	is.Equal(len(a.openings), 0) // a check counts nothing
	is.Equal(a.Admit(start, r), RefusalNone)
	is.Equal(len(a.openings), 1)
}
