package emulator

import (
	"encoding/binary"
	"io"
	"net/http"
)

// AppendedRecord is a record of an append as a test sees it.
type AppendedRecord struct {
	Key     string
	Deleted bool
}

// InjectAppends sets the function that chooses the fault of each append by its topic and
// records; nil clears it.
func (e *Endpoint) InjectAppends(chooseFault func(topic string, records []AppendedRecord) Fault) {
	if chooseFault == nil {
		e.chooseAppendFault.Store(nil)
		return
	}
	e.chooseAppendFault.Store(&chooseFault)
}

// peekRecords returns the records of an append and leaves its body unread.
func peekRecords(r *http.Request) []AppendedRecord {
	body, _ := io.ReadAll(r.Body) // an incomplete body fails in the append
	r.Body = io.NopCloser(&sliceReader{body})
	var records []AppendedRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n || n < 1 || n < 1+int(body[4]) {
			break
		}
		keyEnd := 5 + int(body[4])
		records = append(records, AppendedRecord{Key: string(body[5:keyEnd]), Deleted: keyEnd == 4+n})
		body = body[4+n:]
	}
	return records
}
