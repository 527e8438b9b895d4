// Package wire defines the JSON bodies and headers of the platform's protocol. The
// clients in package remote and the servers in package standin share them.
package wire

// Headers of requests to targets.
const (
	HeaderRequestID      = "Request-Id"
	HeaderRequestTimeout = "Request-Timeout" // milliseconds
	HeaderNotRun         = "Not-Run"         // "true" if the target did not run the request
)

// HeaderCallID carries the id of a call to the log, the list or a worker. Only after a
// response that echoes it does the client use a connection again.
const HeaderCallID = "Call-Id"

// HeaderAsOf carries the as_of_ms of an instance list in a not-modified response.
const HeaderAsOf = "As-Of-Ms"

// AppendRequest adds records to a stream.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse returns the offset of the first appended record.
type AppendResponse struct {
	FirstOffset *int64 `json:"first_offset"`
}

// ReadResponse is the result of one read of a stream.
type ReadResponse struct {
	FirstRetained *int64   `json:"first_retained"`
	Next          *int64   `json:"next"`
	Records       []Record `json:"records"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// Listing is the instance list.
type Listing struct {
	AsOfMS    int64      `json:"as_of_ms"`
	Instances []Instance `json:"instances"`
}

// Instance is one row of the instance list.
type Instance struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Rack        string `json:"rack,omitempty"`
	State       string `json:"state"`
	Service     string `json:"service,omitempty"`
	Worker      string `json:"worker,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	Resources
}

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// TaskRef identifies one attempt of a job.
type TaskRef struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
}

// StartRequest starts an attempt.
type StartRequest struct {
	TaskRef
	Resources
	Workload   string `json:"workload"`
	Checkpoint string `json:"checkpoint,omitempty"`
	LeaseMS    int64  `json:"lease_ms"`
	Epoch      int64  `json:"epoch"`
}

// CheckpointResponse returns the name of a saved checkpoint.
type CheckpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}

// ThrottleRequest limits the CPU share of an attempt.
type ThrottleRequest struct {
	TaskRef
	Percent int `json:"percent"`
}

// RenewRequest extends the leases of attempts.
type RenewRequest struct {
	Tasks   []TaskRef `json:"tasks"`
	LeaseMS int64     `json:"lease_ms"`
}

// WorkerStatus is a worker's report.
type WorkerStatus struct {
	Worker    string       `json:"worker"`
	Boot      string       `json:"boot"`
	UsageAtMS int64        `json:"usage_at_ms"`
	Usage     Resources    `json:"usage"`
	Tasks     []TaskStatus `json:"tasks"`
}

// TaskStatus is a worker's report of one attempt.
type TaskStatus struct {
	TaskRef
	State           string    `json:"state"`
	Usage           Resources `json:"usage"`
	ThrottlePercent int       `json:"throttle_percent"`
	Checkpoint      string    `json:"checkpoint,omitempty"`
	LeaseLeftMS     int64     `json:"lease_left_ms"`
	Reason          string    `json:"reason,omitempty"`
}

// ErrorResponse is the body of a response that refuses a call.
type ErrorResponse struct {
	Error string `json:"error"`
}
