// Package emulator emulates the deployment platform in tests: its metadata store
// and its workers, over the same HTTP interface. It enforces the conditions that
// the scheduler relies on, such as epochs, sequence numbers, fencing tokens and
// leases, and injects faults on request.
package emulator

import (
	"sync"
	"time"
)

// dedupWindow is the number of recent appends of a producer whose retries are
// recognized and get the original offsets.
const dedupWindow = 5

// partition is one partition of a topic.
type partition struct {
	records      [][]byte
	first        int64 // offset of records[0]
	producers    map[string]*producer
	newest       map[string]keyedRecord
	keyOrder     []string      // keys in the order of their first record
	appendSignal chan struct{} // closed by the next append
}

// keyedRecord is the newest record of a key.
type keyedRecord struct {
	value  []byte
	offset int64
}

// producer is the state that makes the appends of one producer idempotent.
type producer struct {
	epoch   int64
	nextSeq int64
	past    []pastAppend
}

// pastAppend is the result of an append that can be retried.
type pastAppend struct {
	seq         int64
	offset, end int64
}

func newPartition() *partition {
	return &partition{producers: make(map[string]*producer), newest: make(map[string]keyedRecord), appendSignal: make(chan struct{})}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// add appends records and notifies waiting readers.
func (p *partition) add(records [][]byte) (offset, end int64) {
	offset = p.end()
	for _, r := range records {
		p.index(r, p.end())
		p.records = append(p.records, r)
	}
	close(p.appendSignal)
	p.appendSignal = make(chan struct{})
	return offset, p.end()
}

// index updates the newest record of the key. A record consists of the length of
// the key in one byte, the key and the value; an empty value deletes the key.
func (p *partition) index(record []byte, offset int64) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return
	}
	key := string(record[1 : 1+record[0]])
	value := record[1+record[0]:]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	if _, exists := p.newest[key]; !exists {
		p.keyOrder = append(p.keyOrder, key)
	}
	p.newest[key] = keyedRecord{value, offset}
}

// trim drops the records before an offset.
func (p *partition) trim(before int64) {
	n := min(max(before-p.first, 0), int64(len(p.records)))
	p.records = p.records[n:]
	p.first += n
}

// appendResult is the response to an append.
type appendResult struct {
	status      int
	offset, end int64
	reason      string
	seq, epoch  int64
}

// produce appends the records of a producer. A retry of one of its last dedupWindow
// appends returns the original offsets. Other appends are rejected if the epoch is
// old, the log doesn't end at expectedEnd or the sequence number isn't the next.
// Without records only the epoch and the end are checked.
func (p *partition) produce(name string, epoch, seq int64, expectedEnd *int64, records [][]byte) appendResult {
	pr := p.producers[name]
	if pr == nil {
		pr = &producer{epoch: epoch, nextSeq: seq}
		p.producers[name] = pr
	}
	if epoch < pr.epoch {
		return appendResult{status: 409, reason: "fenced", epoch: pr.epoch}
	}
	if epoch > pr.epoch {
		*pr = producer{epoch: epoch, nextSeq: seq}
	}
	for _, past := range pr.past {
		if past.seq == seq && len(records) > 0 {
			return appendResult{status: 200, offset: past.offset, end: past.end}
		}
	}
	if expectedEnd != nil && *expectedEnd != p.end() {
		return appendResult{status: 412, end: p.end()}
	}
	if len(records) == 0 {
		return appendResult{status: 200, offset: p.end(), end: p.end()}
	}
	if seq != pr.nextSeq {
		return appendResult{status: 409, reason: "seq", seq: pr.nextSeq}
	}
	offset, end := p.add(records)
	pr.nextSeq++
	pr.past = append(pr.past, pastAppend{seq, offset, end})
	if len(pr.past) > dedupWindow {
		pr.past = pr.past[1:]
	}
	return appendResult{status: 200, offset: offset, end: end}
}

// group is a membership group whose members expire.
type group struct {
	generation int64
	members    map[string]time.Time // when each expires
	joinOrder  []string
}

// log holds all topics and groups.
type log struct {
	mu         sync.Mutex
	partitions map[string]*partition
	groups     map[string]*group
}

func newLog() *log {
	return &log{partitions: make(map[string]*partition), groups: make(map[string]*group)}
}

func (l *log) partition(topic, number string) *partition {
	key := topic + "/" + number
	p := l.partitions[key]
	if p == nil {
		p = newPartition()
		l.partitions[key] = p
	}
	return p
}

func (l *log) group(name string) *group {
	g := l.groups[name]
	if g == nil {
		g = &group{members: make(map[string]time.Time)}
		l.groups[name] = g
	}
	return g
}

// expire removes the members that haven't rejoined within their time to live.
func (g *group) expire(now time.Time) {
	kept := g.joinOrder[:0]
	for _, m := range g.joinOrder {
		if now.Before(g.members[m]) {
			kept = append(kept, m)
			continue
		}
		delete(g.members, m)
		g.generation++
	}
	g.joinOrder = kept
}

func (g *group) join(member string, ttl time.Duration, now time.Time) {
	g.expire(now)
	if _, exists := g.members[member]; !exists {
		g.joinOrder = append(g.joinOrder, member)
		g.generation++
	}
	g.members[member] = now.Add(ttl)
}

func (g *group) leave(member string, now time.Time) {
	g.members[member] = now
	g.expire(now)
}
