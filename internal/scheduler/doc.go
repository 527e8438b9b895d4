// Package scheduler is the deterministic core that schedules all jobs of a site.
// It does no I/O and reads no clock: inputs and the time are arguments, and the
// caller carries out what the core returns.
//
// # Terms
//
// A job has rounds (one, or several at fixed intervals), a round has steps, and
// a step has equal tasks. An attempt is one execution of a task on a worker. A
// long-running task runs until its job is cancelled; a service is a long-running
// task with a latency target. A filler is a best-effort task that uses the CPU
// time that other tasks leave and is throttled or evicted when it slows a
// service down. The tasks of a gang run at the same time or not at all.
// A hold is a long poll of a worker that renews its lease and returns the
// attempts that are active or have ended there. The owner is the instance that
// runs the core; its epoch is the fencing token of its commands.
//
// # Protocol
//
// The caller feeds the core with
//
//   - the intake records, in the order of the store (Submit, Cancel),
//   - the configuration, the evacuations that the operator requests and the workers'
//     entries (SetConfig, SetEvacuations, RequestsRead, SetWorker, RemoveWorker,
//     EntriesRead),
//   - the results of commands (CommandDone) and of advice requests (AdviceDone),
//     and
//   - time (Tick).
//
// It then takes a Batch and appends the batch's records to the store under its
// epoch. Only when the store has confirmed them does it call Committed and send
// the commands that Committed produces. A start is therefore recorded before it
// is sent, an end is recorded before the worker may discard it, and a job is
// shown as completed only when the next owner will also find it completed.
// Commands that need no record, such as stops, are returned by TakeOutput at any
// time.
//
// If an append is refused because a newer epoch exists, the caller drops the
// core. Workers refuse commands with an older fencing token, so a command that
// is still in flight has no effect.
//
// After a takeover, the new owner calls Restore for each stored job and Start.
// Attempts found in the records count as running until their worker has answered
// a hold with the new token, or until the longest lease that the previous owner
// can have granted has expired.
package scheduler
