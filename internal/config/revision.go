package config

import "strconv"

// A revision consists of the store's era in its high bits and the store's own
// revision below, so that revisions compare as pairs. The era rises when the store is
// restored from a copy, after which the store gives out lower revisions again. It is 0
// for a store that does not report one.
const (
	eraShift = 44
	// MaxEra is the highest era that a revision can contain.
	MaxEra uint64 = 1<<(64-eraShift) - 1
	// maxStoreRevision is enough for 5,000 writes a second over a century.
	maxStoreRevision uint64 = 1<<eraShift - 1
)

// JoinRevision returns the revision of an era. Both are capped at their maximum.
func JoinRevision(era, storeRevision uint64) uint64 {
	return min(era, MaxEra)<<eraShift | min(storeRevision, maxStoreRevision)
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// StoreRevision returns the part of a revision that the store gave out.
func StoreRevision(revision uint64) uint64 { return revision & maxStoreRevision }

// FormatRevision returns a revision for logs and operators, with its era if it has
// one: "3:512".
func FormatRevision(revision uint64) string {
	const decimal = 10
	own := strconv.FormatUint(StoreRevision(revision), decimal)
	if era := EraOf(revision); era > 0 {
		return strconv.FormatUint(era, decimal) + ":" + own
	}
	return own
}
