package admission

import "testing"

func BenchmarkOfferAndDone(b *testing.B) {
	d := newDriven(9, true)
	b.ReportAllocs()
	for b.Loop() {
		d.next++
		d.Offer(d.now, Request{ID: d.next})
		d.Done(d.now, d.next, ResultOK)
	}
}

func BenchmarkOfferToFullQueue(b *testing.B) {
	d := newDriven(9, true)
	for range 9 + 9*settings.QueuePerSlot {
		d.next++
		d.Offer(d.now, Request{ID: d.next})
	}
	b.ReportAllocs()
	for b.Loop() {
		d.Offer(d.now, Request{ID: 0})
	}
}
