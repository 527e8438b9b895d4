// Package history records the operations of clients, targets and workers in a run
// of the system and checks the guarantees G1 to G9 over them.
package history

// Operation is one line of a history.
type Operation struct {
	Client       string `json:"client"`
	Kind         string `json:"kind"` // request, job, publish, config_read, dispatch (target side), attempt (worker side)
	ID           string `json:"id"`
	Start        int64  `json:"start_ns"` // wall clock
	End          int64  `json:"end_ns"`
	Outcome      string `json:"outcome"` // ok, not_run, unknown, ran, refused
	Status       int    `json:"status,omitempty"`
	Target       string `json:"target,omitempty"`
	Worker       string `json:"worker,omitempty"`
	Attempt      int    `json:"attempt,omitempty"`
	Idempotent   bool   `json:"idempotent,omitempty"`
	Body         string `json:"body,omitempty"`    // digest of the answer
	Want         string `json:"want,omitempty"`    // digest of the expected answer
	Version      int64  `json:"version,omitempty"` // configuration version
	CPUMilli     int64  `json:"cpu_milli,omitempty"`
	MemoryMiB    int64  `json:"memory_mib,omitempty"`
	Accelerators int64  `json:"accelerators,omitempty"`
}
