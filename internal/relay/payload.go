package relay

import (
	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// maxCachedPayloads limits the jobs whose payloads a relay keeps for a stream.
const maxCachedPayloads = 256

// payloadCache holds the payloads of the jobs that were started last over a stream.
// All tasks of a job have the same payload, so it is sent to a relay only with the
// first of them. Both ends make the same changes in the same order, since a stream
// keeps the order of its messages: what the owner's cache contains, the relay's
// contains as well.
type payloadCache struct {
	payloads map[string]string
	order    []string // job ids, the oldest first
}

func newPayloadCache() *payloadCache { return &payloadCache{payloads: make(map[string]string)} }

func (c *payloadCache) add(job, payload string) {
	if len(c.order) == maxCachedPayloads {
		delete(c.payloads, c.order[0])
		c.order = c.order[1:]
	}
	c.payloads[job] = payload
	c.order = append(c.order, job)
}

// strip removes the payload from a command if the relay has it already.
func (c *payloadCache) strip(m *pb.WorkerCommand) {
	if scheduler.CommandKind(m.GetKind()) != scheduler.CommandStart {
		return
	}
	job := m.GetAttempt().GetJob()
	if payload, known := c.payloads[job]; known && payload == m.GetPayload() {
		m.Payload, m.PayloadKnown = "", true
		return
	} else if !known {
		c.add(job, m.GetPayload())
	}
}

// restore sets the payload of a command that was sent without it.
func (c *payloadCache) restore(m *pb.WorkerCommand) error {
	if scheduler.CommandKind(m.GetKind()) != scheduler.CommandStart {
		return nil
	}
	job := m.GetAttempt().GetJob()
	payload, known := c.payloads[job]
	switch {
	case m.GetPayloadKnown() && !known:
		return errors.Errorf("the payload of job %s was not sent", job)
	case m.GetPayloadKnown():
		m.Payload = payload
	case !known:
		c.add(job, m.GetPayload())
	}
	return nil
}
