package logline

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Formatter formats the lines of logrus.JSONFormatter without reflection for the usual
// types of values. An instance that owns the job state logs hundreds of lines a second.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	fields := make([]field, 0, len(e.Data)+3)
	for key, value := range e.Data {
		switch key {
		case logrus.FieldKeyMsg, logrus.FieldKeyTime, logrus.FieldKeyLevel:
			key = "fields." + key
		}
		if err, ok := value.(error); ok {
			value = err.Error()
		}
		fields = append(fields, field{key, value})
	}
	fields = append(fields, field{logrus.FieldKeyTime, e.Time.Format(time.RFC3339)}, field{logrus.FieldKeyMsg, e.Message}, field{logrus.FieldKeyLevel, e.Level.String()})
	slices.SortFunc(fields, func(a, b field) int {
		switch {
		case a.key < b.key:
			return -1
		case a.key > b.key:
			return 1
		default:
			return 0
		}
	})
	var line []byte
	if e.Buffer != nil {
		line = e.Buffer.AvailableBuffer()
	}
	var err error
	for n, f := range fields {
		separator := byte(',')
		if n == 0 {
			separator = '{'
		}
		line = append(line, separator)
		if line, err = appendValue(line, f.key); err != nil {
			return nil, err
		}
		line = append(line, ':')
		if line, err = appendValue(line, f.value); err != nil {
			return nil, err
		}
	}
	return append(line, '}', '\n'), nil
}

type field struct {
	key   string
	value any
}

// appendValue appends a value as JSON.
func appendValue(line []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case string:
		if plain(v) {
			return append(append(append(line, '"'), v...), '"'), nil
		}
	case int:
		return strconv.AppendInt(line, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(line, v, 10), nil
	case bool:
		return strconv.AppendBool(line, v), nil
	case float64:
		if magnitude := math.Abs(v); magnitude == 0 || magnitude >= 1e-6 && magnitude < 1e21 {
			return strconv.AppendFloat(line, v, 'f', -1, 64), nil
		}
	}
	data, err := json.Marshal(value)
	return append(line, data...), err
}

// plain reports whether a string needs no escapes in JSON.
func plain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}
