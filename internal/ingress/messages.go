package ingress

import "time"

const (
	// messageFactor is the memory of a connection, which keeps its buffers, as a multiple
	// of its largest message.
	messageFactor = 4
	// messageStep is the smallest charge for messages.
	messageStep = 32 << 10
	// messageProgressInterval is the shortest time between two records of the progress of
	// a connection.
	messageProgressInterval = 100 * time.Millisecond
)

// messageMemory charges a connection for the largest of its messages. It is used by the
// reader of the connection.
type messageMemory struct {
	conn       *conn
	account    account
	sizes      messageSizes
	charged    int64
	progressAt time.Time
}

func newMessageMemory(c *conn, b *Budget) *messageMemory {
	return &messageMemory{conn: c, account: account{budget: b, stop: func() {
		_ = c.SetReadDeadline(expired)
		c.cancel()
		b.refused("memory")
	}}}
}

// arrived charges for data that has arrived. After an error the connection can't be used
// any more.
func (m *messageMemory) arrived(p []byte) error {
	ended := m.sizes.scan(p)
	if memory := messageFactor * max(m.sizes.largest-freeBytes, 0); memory > m.charged {
		n := max(memory-m.charged, messageStep)
		if err := m.account.charge(n); err != nil {
			m.account.budget.refused("memory")
			return err
		}
		m.charged += n
	}
	if now := time.Now(); ended && now.Sub(m.progressAt) >= messageProgressInterval {
		m.progressAt = now
		m.conn.progress()
		if m.charged > 0 {
			m.account.progress()
		}
	}
	return nil
}

// messageSizes follows the frames of a drpc connection: a control byte, the numbers of
// the stream and of the message, the length, and the data. The last frame of a message
// is marked as such.
type messageSizes struct {
	field   int // of the frame: 0 is the control byte, 1 to 3 are the numbers
	last    bool
	shift   uint
	length  uint64 // of the data that is still to come, once the field has been read
	message int64  // bytes of the message that have arrived
	largest int64  // most bytes of a message so far
}

const (
	lastFrameBit = 1
	lengthField  = 3
	dataField    = 4
)

// scan reads the next bytes of the connection and reports whether a message has ended.
func (m *messageSizes) scan(p []byte) (ended bool) {
	for len(p) > 0 || m.field == dataField && m.length == 0 { // a frame may have no data
		if m.field == dataField {
			n := min(m.length, uint64(len(p)))
			p, m.length = p[n:], m.length-n
			m.message += int64(n)
			m.largest = max(m.largest, m.message)
			if m.length > 0 {
				return ended
			}
			m.field = 0
			if m.last {
				m.message, ended = 0, true
			}
			continue
		}
		m.number(p[0])
		p = p[1:]
	}
	return ended
}

// number reads a byte of the control byte or of a number in groups of 7 bits, the lowest
// first.
func (m *messageSizes) number(b byte) {
	if m.field == 0 {
		m.last, m.field, m.shift, m.length = b&lastFrameBit != 0, 1, 0, 0
		return
	}
	if m.field == lengthField && m.shift < 64 {
		m.length |= uint64(b&0x7f) << m.shift
	}
	m.shift += 7
	if b&0x80 == 0 {
		m.field, m.shift = m.field+1, 0
	}
}
