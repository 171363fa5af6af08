package memory

const (
	// runtimePercent is the share of a process's memory for the Go runtime. What the runtime doesn't count (the program itself, and
	// garbage beyond the limit while a collection is under way) takes what the shares leave.
	runtimePercent = 50
	// heldPercent is the share, within that of the runtime, that is held for requests and answers.
	heldPercent = 30
	// connectionsPercent is the share, within that of the runtime, of the open connections of callers.
	connectionsPercent = 25
	// unreadPercent is the share of what the kernel has received and the process hasn't read.
	unreadPercent = 20
)

// Shares are the parts of a process's memory in bytes, 0 without a limit.
type Shares struct {
	Runtime, Held, Connections, Unread int64
}

// Divide divides the memory limit of a process, 0 for none.
func Divide(limit int64) Shares {
	share := func(percent int64) int64 { return limit * percent / 100 }
	return Shares{Runtime: share(runtimePercent), Held: share(heldPercent), Connections: share(connectionsPercent), Unread: share(unreadPercent)}
}
