package memnet

import (
	"context"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var (
	clientAddr = netip.MustParseAddrPort("192.0.2.1:1")
	serverAddr = netip.MustParseAddrPort("192.0.2.2:1")
)

func TestDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(Options{Delay: time.Millisecond})
		a, b := n.Socket(clientAddr), n.Socket(serverAddr)
		buf := make([]byte, 10)
		send := func(data string) error {
			_, err := a.WriteToUDPAddrPort([]byte(data), serverAddr)
			is.NoErr(err)
			is.NoErr(b.SetReadDeadline(time.Now().Add(time.Second)))
			_, from, err := b.ReadFromUDPAddrPort(buf)
			is.True(err != nil || from == clientAddr)
			return err
		}
		start := time.Now()
		is.NoErr(send("one"))
		is.Equal(time.Since(start), time.Millisecond) // virtual time
		n.Partition(func(from, _ netip.AddrPort) bool { return from == clientAddr })
		is.True(errors.Is(send("lost"), os.ErrDeadlineExceeded))
		n.Partition(nil)
		is.NoErr(send("two"))
		is.Equal(string(buf[:3]), "two")
		is.NoErr(a.Close())
		is.NoErr(b.Close())
		_, _, err := b.ReadFrom(buf)
		is.True(err != nil)
	})
}

func TestDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refusing, blackhole := New(Options{}), New(Options{Blackhole: true})
		_, err := refusing.Dial(t.Context(), clientAddr, serverAddr)
		is.Equal(err, ErrRefused)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = blackhole.Dial(ctx, clientAddr, serverAddr)
		is.Equal(err, context.DeadlineExceeded)
		l, err := refusing.Listen(serverAddr)
		is.NoErr(err)
		go func() {
			c, _ := l.Accept()
			_, _ = c.Write([]byte("x"))
		}()
		c, err := refusing.Dial(t.Context(), clientAddr, serverAddr)
		is.NoErr(err)
		_, err = c.Read(make([]byte, 1))
		is.NoErr(err)
		is.NoErr(l.Close())
		_, err = refusing.Dial(t.Context(), clientAddr, serverAddr)
		is.Equal(err, ErrRefused)
	})
}
