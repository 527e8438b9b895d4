package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// decoder fills a message from a JSON tree. It reports values that don't match
// the message's descriptor or violate the rules of its fields.
type decoder struct {
	report *report
}

// message fills m from a JSON object and sets the defaults of missing fields.
func (d *decoder) message(n node, m protoreflect.Message, path string) {
	o, ok := n.value.(object)
	if !ok {
		d.report.add(path, "wrong type: want an object, got %s", n.kind())
		return
	}
	fields := m.Descriptor().Fields()
	seen := make(map[string]bool, len(o.members))
	for _, member := range o.members {
		fieldPath := joinPath(path, member.key)
		if seen[member.key] {
			d.report.add(fieldPath, "duplicate key")
			continue
		}
		seen[member.key] = true
		fd := fields.ByName(protoreflect.Name(member.key))
		if fd == nil {
			d.report.add(fieldPath, "unknown field%s", unitHint(member.key, fields, seen))
			continue
		}
		d.field(member.value, m, fd, fieldPath)
	}
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !seen[string(fd.Name())] {
			d.missing(m, fd, joinPath(path, string(fd.Name())))
		}
	}
}

// field sets a field that is present in the file.
func (d *decoder) field(n node, m protoreflect.Message, fd protoreflect.FieldDescriptor, path string) {
	switch {
	case fd.IsList():
		d.list(n, m.Mutable(fd).List(), fd, path)
	case fd.Message() != nil:
		if alreadySet := currentOneofField(m, fd); alreadySet != nil {
			d.report.add(path, "only one of %s and %s may be set", alreadySet.Name(), fd.Name())
			return
		}
		d.message(n, m.Mutable(fd).Message(), path)
	default:
		if value, ok := d.scalar(n, fd, path); ok {
			m.Set(fd, value)
		}
	}
}

// currentOneofField returns the field that is already set in the oneof that fd
// belongs to. It returns nil if none is set or fd is in no oneof.
func currentOneofField(m protoreflect.Message, fd protoreflect.FieldDescriptor) protoreflect.FieldDescriptor {
	if oneof := fd.ContainingOneof(); oneof != nil {
		return m.WhichOneof(oneof)
	}
	return nil
}

func (d *decoder) list(n node, list protoreflect.List, fd protoreflect.FieldDescriptor, path string) {
	a, ok := n.value.(array)
	if !ok {
		d.report.add(path, "wrong type: want an array, got %s", n.kind())
		return
	}
	if len(a.items) > maxListItems {
		d.report.add(path, "too many items: %d, at most %d allowed", len(a.items), maxListItems)
		return
	}
	seen := make(map[any]bool, len(a.items))
	for i, item := range a.items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		value, ok := d.scalar(item, fd, itemPath)
		if !ok {
			continue
		}
		if seen[value.Interface()] {
			d.report.add(itemPath, "duplicate value %q", value.Interface())
			continue
		}
		seen[value.Interface()] = true
		list.Append(value)
	}
}

// scalar converts a string, bool or number to the type of fd and checks it against
// the rule of fd. It returns false if it reported a problem.
func (d *decoder) scalar(n node, fd protoreflect.FieldDescriptor, path string) (protoreflect.Value, bool) {
	var value protoreflect.Value
	var reason string
	switch fd.Kind() {
	case protoreflect.StringKind:
		value, reason = stringValue(n)
	case protoreflect.BoolKind:
		value, reason = boolValue(n)
	case protoreflect.Int32Kind:
		value, reason = intValue(n, math.MinInt32, math.MaxInt32)
	case protoreflect.Int64Kind:
		value, reason = intValue(n, math.MinInt64, math.MaxInt64)
	case protoreflect.DoubleKind:
		value, reason = floatValue(n)
	default:
		reason = fmt.Sprintf("fields of type %s cannot be set in a file", fd.Kind())
	}
	if reason == "" {
		reason = ruleOf(fd).check(value)
	}
	if reason != "" {
		d.report.add(path, "%s", reason)
		return value, false
	}
	if fd.Kind() == protoreflect.Int32Kind {
		value = protoreflect.ValueOfInt32(int32(value.Int()))
	}
	return value, true
}

func stringValue(n node) (protoreflect.Value, string) {
	s, ok := n.value.(string)
	if !ok {
		return protoreflect.Value{}, fmt.Sprintf("wrong type: want a string, got %s", n.kind())
	}
	return protoreflect.ValueOfString(s), ""
}

func boolValue(n node) (protoreflect.Value, string) {
	b, ok := n.value.(bool)
	if !ok {
		return protoreflect.Value{}, fmt.Sprintf("wrong type: want true or false, got %s", n.kind())
	}
	return protoreflect.ValueOfBool(b), ""
}

func intValue(n node, low, high int64) (protoreflect.Value, string) {
	number, ok := n.value.(json.Number)
	if !ok {
		return protoreflect.Value{}, fmt.Sprintf("wrong type: want a whole number, got %s", n.kind())
	}
	i, err := strconv.ParseInt(number.String(), 10, 64)
	if err != nil {
		if f, floatErr := number.Float64(); floatErr != nil || math.Abs(f) >= math.MaxInt64 {
			return protoreflect.Value{}, fmt.Sprintf("value out of range: %.40s", number)
		}
		return protoreflect.Value{}, fmt.Sprintf("wrong type: want a whole number without fraction or exponent, got %.40s", number)
	}
	if i < low || i > high {
		return protoreflect.Value{}, fmt.Sprintf("value out of range: %d", i)
	}
	return protoreflect.ValueOfInt64(i), ""
}

func floatValue(n node) (protoreflect.Value, string) {
	number, ok := n.value.(json.Number)
	if !ok {
		return protoreflect.Value{}, fmt.Sprintf("wrong type: want a number, got %s", n.kind())
	}
	f, err := number.Float64()
	if err != nil || math.IsInf(f, 0) {
		return protoreflect.Value{}, fmt.Sprintf("value out of range: %.40s", number)
	}
	return protoreflect.ValueOfFloat64(f), ""
}

// missing sets the default of a field that is not in the file. A required field
// has no default and is reported.
func (d *decoder) missing(m protoreflect.Message, fd protoreflect.FieldDescriptor, path string) {
	r := ruleOf(fd)
	switch {
	case r.required:
		d.report.add(path, "missing required field")
	case fd.IsList() || fd.ContainingOneof() != nil && !fd.HasOptionalKeyword():
	case fd.Message() != nil:
		d.message(node{value: object{}}, m.Mutable(fd).Message(), path)
	case r.defaultValue != nil:
		m.Set(fd, r.typedDefault(fd))
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
