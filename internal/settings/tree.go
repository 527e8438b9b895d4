package settings

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxDepth is the maximum nesting depth of objects and arrays in a file.
const maxDepth = 16

// node is one value in a JSON file.
type node struct {
	// value is an object, array, string, bool or json.Number, or nil for null.
	value any
}

type object struct {
	members []member
}

type member struct {
	key   string
	value node
}

type array struct {
	items []node
}

// kind returns the JSON type of the node with an article, as used in errors.
func (n node) kind() string {
	switch n.value.(type) {
	case object:
		return "an object"
	case array:
		return "an array"
	case string:
		return "a string"
	case bool:
		return "true or false"
	case json.Number:
		return "a number"
	default:
		return "null"
	}
}

// parse parses one JSON value. Unlike json.Unmarshal, it keeps duplicate keys so
// that they can be reported.
func parse(data []byte) (node, error) {
	if !utf8.Valid(data) {
		return node{}, errors.New("not valid UTF-8")
	}
	if err := checkSyntax(data); err != nil {
		return node{}, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return parseValue(decoder, 0)
}

// checkSyntax returns the position of the first syntax error. Data after the
// JSON value is an error too.
func checkSyntax(data []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return errors.Errorf("not valid JSON at line %d, column %d: %v", line, column, syntax)
}

func parseValue(decoder *json.Decoder, depth int) (node, error) {
	token, err := decoder.Token()
	if err != nil {
		return node{}, errors.Wrap(err, "not valid JSON")
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return node{value: token}, nil
	}
	if depth >= maxDepth {
		return node{}, errors.Errorf("nested deeper than %d levels", maxDepth)
	}
	if delim == '[' {
		return parseArray(decoder, depth)
	}
	return parseObject(decoder, depth)
}

func parseObject(decoder *json.Decoder, depth int) (node, error) {
	var o object
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return node{}, errors.Wrap(err, "not valid JSON")
		}
		key, ok := token.(string)
		if !ok {
			return node{}, errors.New("not valid JSON: object key is not a string")
		}
		value, err := parseValue(decoder, depth+1)
		if err != nil {
			return node{}, err
		}
		o.members = append(o.members, member{key: key, value: value})
	}
	_, err := decoder.Token() // the closing brace
	return node{value: o}, errors.Wrap(err, "not valid JSON")
}

func parseArray(decoder *json.Decoder, depth int) (node, error) {
	var a array
	for decoder.More() {
		item, err := parseValue(decoder, depth+1)
		if err != nil {
			return node{}, err
		}
		a.items = append(a.items, item)
	}
	_, err := decoder.Token() // the closing bracket
	return node{value: a}, errors.Wrap(err, "not valid JSON")
}
