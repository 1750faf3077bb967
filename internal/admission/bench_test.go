package admission

import "testing"

func BenchmarkOfferAndDone(b *testing.B) {
	l := newTestLimiter(9, true)
	b.ReportAllocs()
	for b.Loop() {
		l.lastID++
		l.Offer(l.now, Request{ID: l.lastID})
		l.Done(l.now, l.lastID, ResultOK)
	}
}

func BenchmarkOfferToFullQueue(b *testing.B) {
	l := newTestLimiter(9, true)
	for range 9 + 9*settings.QueuePerSlot {
		l.lastID++
		l.Offer(l.now, Request{ID: l.lastID})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Offer(l.now, Request{ID: 0})
	}
}
