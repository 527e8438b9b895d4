package emulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Put appends a record to partition 0 of a keyed topic, as the platform or a worker
// does. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.log.partition(topic, "0").add([][]byte{append(record, value...)})
}

// PutJSON is Put with a value encoded as JSON.
func (s *Store) PutJSON(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.Put(topic, key, data)
	return nil
}

// TrimTopic trims all records of partition 0 of a topic. The newest record of each
// key can still be read.
func (s *Store) TrimTopic(topic string) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	p := s.log.partition(topic, "0")
	p.trim(p.end())
}

// Keys returns the keys with a value of all partitions of a keyed topic, sorted.
func (s *Store) Keys(topic string) []string {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	var keys []string
	for name, p := range s.log.partitions {
		if t, _, _ := strings.Cut(name, "/"); t == topic {
			keys = slices.AppendSeq(keys, maps.Keys(p.newest))
		}
	}
	slices.Sort(keys)
	return keys
}
