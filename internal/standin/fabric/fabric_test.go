package fabric

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pires/go-proxyproto"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func openSocket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func startFabric(t *testing.T) (*Fabric, netip.AddrPort) {
	t.Helper()
	f, err := New(loopback, []netip.AddrPort{loopback})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx, 1) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f, f.Services()[0]
}

// echoAsEntry receives one packet and returns its payload to the caller, as an
// entry would.
func echoAsEntry(t *testing.T, entry *net.UDPConn, returns netip.AddrPort) (caller, service netip.AddrPort) {
	t.Helper()
	buf := make([]byte, maxDatagram)
	n, _, err := entry.ReadFromUDPAddrPort(buf)
	if err != nil {
		t.Fatal(err)
	}
	h, payload, err := proxyproto.ParseUDPDatagram(buf[:n])
	if err != nil {
		t.Fatal(err)
	}
	source, destination, _ := h.UDPAddrs()
	response, err := proxyHeader(destination.AddrPort(), source.AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := entry.WriteToUDPAddrPort(append(response, payload...), returns); err != nil {
		t.Fatal(err)
	}
	return source.AddrPort(), destination.AddrPort()
}

func TestPacketGoesToAnEntryAndBack(t *testing.T) {
	is := is.New(t)
	f, service := startFabric(t)
	entry, entryAddr := openSocket(t)
	caller, callerAddr := openSocket(t)
	f.Add(Entry{Addr: entryAddr, Zone: "a"})

	_, err := caller.WriteToUDPAddrPort([]byte("ping"), service)
	is.NoErr(err)
	gotCaller, gotService := echoAsEntry(t, entry, f.ReturnAddress())
	is.Equal(gotCaller, callerAddr)
	is.Equal(gotService, service)

	buf := make([]byte, maxDatagram)
	n, from, err := caller.ReadFromUDPAddrPort(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "ping")
	is.Equal(from, service)
}

func TestPacketsReachEveryEntryAndRemoveDropsOne(t *testing.T) {
	is := is.New(t)
	f, service := startFabric(t)
	first, firstAddr := openSocket(t)
	second, secondAddr := openSocket(t)
	caller, _ := openSocket(t)
	f.Add(Entry{Addr: firstAddr})
	f.Add(Entry{Addr: secondAddr})
	for range 40 { // with the fixed seed both entries are chosen
		_, err := caller.WriteToUDPAddrPort([]byte("x"), service)
		is.NoErr(err)
	}
	echoAsEntry(t, first, f.ReturnAddress())
	echoAsEntry(t, second, f.ReturnAddress())

	f.Remove(secondAddr)
	is.Equal(len(f.Entries()), 1)
	is.Equal(f.Entries()[0].Addr, firstAddr)
}

func TestLossAndUnknownSource(t *testing.T) {
	is := is.New(t)
	f, service := startFabric(t)
	entry, entryAddr := openSocket(t)
	caller, _ := openSocket(t)
	f.Add(Entry{Addr: entryAddr})
	f.SetConditions(Conditions{Loss: 1})
	_, err := caller.WriteToUDPAddrPort([]byte("x"), service)
	is.NoErr(err)
	_, err = entry.WriteToUDPAddrPort([]byte("no header"), f.ReturnAddress())
	is.NoErr(err)
	for c := f.Counts(); c.Lost < 1 || c.Malformed < 1; {
		time.Sleep(time.Millisecond)
		c = f.Counts()
	}
	is.Equal(f.Counts().ToEntries, uint64(0))
	is.Equal(f.Counts().ToCallers, uint64(0))
}
