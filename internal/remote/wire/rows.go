package wire

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is a row of the instance list, or the reason why it can't be read.
type Row struct {
	Instance
	Err error
}

// DecodeRows decodes an instance list row by row, so that one that can't be read leaves the
// others their effect. The library's decoder fails as a whole at a deeply nested row.
func DecodeRows(data []byte) (asOfMS int64, rows []Row, err error) {
	members, err := split(data, '{', '}')
	if err != nil {
		return 0, nil, err
	}
	for n := 0; n+1 < len(members); n += 2 {
		value := members[n+1]
		switch string(members[n]) {
		case `"as_of_ms"`:
			err = errors.Wrap(json.Unmarshal(value, &asOfMS), "as_of_ms")
		case `"instances"`:
			if string(value) != "null" {
				rows, err = decodeRows(value)
			}
		}
		if err != nil {
			return 0, nil, err
		}
	}
	return asOfMS, rows, nil
}

func decodeRows(data []byte) ([]Row, error) {
	values, err := split(data, '[', ']')
	if err != nil {
		return nil, errors.Wrap(err, "instances")
	}
	rows := make([]Row, len(values))
	for n, value := range values {
		rows[n].Err = json.Unmarshal(value, &rows[n].Instance)
	}
	return rows, nil
}

// split returns the elements of a JSON array, or the keys and values of an object in turn.
// It checks no more of the elements than is needed to find their ends.
func split(data []byte, begin, end byte) ([][]byte, error) {
	at := skipSpace(data, 0)
	if at == len(data) || data[at] != begin {
		return nil, errors.Errorf("want %q", begin)
	}
	var elements [][]byte
	for at = skipSpace(data, at+1); at < len(data); at = skipSpace(data, at) {
		switch data[at] {
		case end:
			if rest := skipSpace(data, at+1); rest < len(data) {
				return nil, errors.Errorf("bytes after the end")
			}
			return elements, nil
		case ',', ':':
			at++
		default:
			next := skipValue(data, at)
			elements = append(elements, data[at:next])
			at = next
		}
	}
	return nil, errors.Errorf("%q is missing", end)
}

// skipValue returns the end of the value that begins at an index.
func skipValue(data []byte, at int) int {
	depth, quoted := 0, false
	for ; at < len(data); at++ {
		switch c := data[at]; {
		case quoted && c == '\\':
			at++
		case c == '"':
			if quoted = !quoted; !quoted && depth == 0 {
				return at + 1
			}
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth == 0 {
				return at // the end of what contains a number or a word
			}
			if depth--; depth == 0 {
				return at + 1
			}
		case depth == 0 && (c == ',' || c == ':' || c == ' ' || c == '\n' || c == '\r' || c == '\t'):
			return at
		}
	}
	return len(data)
}

func skipSpace(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\n' || data[at] == '\r' || data[at] == '\t') {
		at++
	}
	return at
}
