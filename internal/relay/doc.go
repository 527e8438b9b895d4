// Package relay shares out the calls to workers. The owner of the job state decides
// alone which commands workers receive, but each worker is assigned to an instance
// that carries them out: to a relay, which receives the commands in batches over one
// stream, or to the owner itself.
//
// # Safety
//
// A relay is part of the network between the owner and the workers. It keeps no
// state that anything depends on and decides nothing:
//
//   - A command carries the owner's fencing token, so a worker that has seen a newer
//     owner refuses it, however late it arrives.
//   - A lease is an absolute time on the worker's own clock, which the owner has
//     computed. A relay that delays a command cannot extend it.
//   - A command whose relay is lost has an unknown outcome, like one whose answer is
//     lost: the core starts the task elsewhere only after a confirmed stop, a restart
//     of the worker or the end of the lease.
//   - A relay that was paused does not carry out the commands that it still holds:
//     each batch echoes a reading of the relay's own clock, which bounds the age of
//     its commands without any agreement between clocks. This matters for holds,
//     since a worker that has restarted in the meantime would discard ends that the
//     cursor of the hold does not refer to.
//
// # Parts
//
// Assignment decides which instance serves which worker; it does no I/O and reads no
// clock. Router applies it to the owner's commands, and a link for each connected
// relay tracks those that are in flight there. Session is the relay's side of a
// stream. Executor makes the calls, for the owner and for relays alike.
package relay
