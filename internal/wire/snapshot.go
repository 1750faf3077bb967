package wire

// SnapshotParams requests a part of the members and configuration objects that a
// process holds. With Objects set, only those objects are returned.
type SnapshotParams struct {
	Cursor  int          `json:"cursor"`  // 0 for the first page, then SnapshotResult.Next
	Agent   bool         `json:"agent"`   // return only what an agent needs: some entries and the agents of its service
	Address string       `json:"address"` // data address of the agent
	Service uint16       `json:"service"` // service ID of the agent; 0 if unknown
	Follow  string       `json:"follow"`  // name of the service or pool that the agent follows; empty if unknown
	Objects []ObjectName `json:"objects,omitempty"`
}

// ObjectName identifies a configuration object.
type ObjectName struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// SnapshotResult is one page of records and objects.
type SnapshotResult struct {
	Page []byte `json:"page"` // CBOR, compressed with gzip
	Next int    `json:"next"` // 0 after the last page
	// AgeMillis is the time since the objects were last confirmed to be the
	// store's latest; -1 if unknown.
	AgeMillis int64 `json:"ageMillis"`
	// Revision is the store's revision at that time.
	Revision uint64 `json:"revision"`
}
