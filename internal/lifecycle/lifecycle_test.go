package lifecycle

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		is.True(Sleep(t.Context(), time.Second))
		is.Equal(time.Since(begin), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!Sleep(ctx, time.Minute))
		is.Equal(time.Since(begin), 2*time.Second)
	})
}

func TestStopperAllowsRepeatedStop(t *testing.T) {
	is := is.New(t)
	s := NewStopper()
	is.True(!s.Stopping())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!s.Wait(ctx))
	s.Stop()
	s.Stop()
	is.True(s.Stopping())
	is.True(s.Wait(t.Context()))
	<-s.Requested()
}
