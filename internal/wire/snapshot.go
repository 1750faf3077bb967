package wire

// SnapshotParams asks for a part of what a process knows. With Objects set,
// only those objects are returned.
type SnapshotParams struct {
	Cursor  int          `json:"cursor"` // 0 at first, then SnapshotResult.Next
	Agent   bool         `json:"agent"`  // for an agent: some entries, the agents of its service
	Address string       `json:"address"`
	Service uint16       `json:"service"`
	Follow  string       `json:"follow"`
	Objects []ObjectName `json:"objects,omitempty"`
}

// ObjectName identifies a configuration object.
type ObjectName struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// SnapshotResult is one page: records and objects in CBOR, compressed by gzip.
type SnapshotResult struct {
	Page []byte `json:"page"`
	Next int    `json:"next"` // 0 after the last page
	// AgeMillis is how long ago the objects were the store's latest; -1 when
	// that is not known.
	AgeMillis int64 `json:"ageMillis"`
	// Revision is the store's at which they were.
	Revision uint64 `json:"revision"`
}
