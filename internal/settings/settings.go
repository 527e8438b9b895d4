// Package settings loads the JSON files of the system: the settings of the
// programs and the declarations of operators. Loading is strict and driven by
// the schema's descriptors, and it reports all problems of a file at once, each
// with file, field and reason.
package settings

import (
	"io"
	"os"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gooseberryreel/internal/pb"
)

// Size limits of files.
const (
	MaxSettingsBytes    = 1 << 20
	MaxDeclarationBytes = 64 << 10
)

// LoadEntry reads the settings of an entry instance and fills in defaults. The
// error is an *Error.
func LoadEntry(file string) (*pb.EntrySettings, error) {
	data, err := readFile(file, MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	return ParseEntry(file, data)
}

// ParseEntry is LoadEntry for data that was read already; file is the name in
// errors.
func ParseEntry(file string, data []byte) (*pb.EntrySettings, error) {
	settings := &pb.EntrySettings{}
	r := &report{file: file}
	if decode(r, data, MaxSettingsBytes, settings.ProtoReflect()) {
		checkEntry(r, settings)
	}
	if err := r.result(); err != nil {
		return nil, err
	}
	return settings, nil
}

// LoadScheduler reads the settings of a scheduler process and fills in
// defaults. The error is an *Error.
func LoadScheduler(file string) (*pb.SchedulerSettings, error) {
	data, err := readFile(file, MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	return ParseScheduler(file, data)
}

// ParseScheduler is LoadScheduler for data that was read already; file is the
// name in errors.
func ParseScheduler(file string, data []byte) (*pb.SchedulerSettings, error) {
	settings := &pb.SchedulerSettings{}
	r := &report{file: file}
	decode(r, data, MaxSettingsBytes, settings.ProtoReflect())
	if err := r.result(); err != nil {
		return nil, err
	}
	return settings, nil
}

// LoadDeclaration reads a declaration and fills in defaults. The error is an
// *Error.
func LoadDeclaration(file string) (*pb.Declaration, error) {
	data, err := readFile(file, MaxDeclarationBytes)
	if err != nil {
		return nil, err
	}
	return ParseDeclaration(file, data)
}

// ParseDeclaration is LoadDeclaration for data that was read already; file is
// the name in errors.
func ParseDeclaration(file string, data []byte) (*pb.Declaration, error) {
	declaration := &pb.Declaration{}
	r := &report{file: file}
	if decode(r, data, MaxDeclarationBytes, declaration.ProtoReflect()) {
		checkDeclaration(r, declaration)
	}
	if err := r.result(); err != nil {
		return nil, err
	}
	return declaration, nil
}

// ValidateDeclaration checks a declaration that did not come from a file, such
// as one of a stream record. Nothing is filled in. The name stands in the place
// of the file in errors.
func ValidateDeclaration(name string, declaration *pb.Declaration) error {
	r := &report{file: name}
	checkMessage(r, declaration.ProtoReflect(), "")
	checkDeclaration(r, declaration)
	return r.result()
}

func readFile(file string, limit int64) ([]byte, error) {
	r := &report{file: file}
	f, err := os.Open(file)
	if err != nil {
		r.add("", "cannot be opened: %v", err)
		return nil, r.result()
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		r.add("", "cannot be read: %v", err)
		return nil, r.result()
	}
	return data, nil
}

// decode fills m and returns whether the data is an object, so that checks
// across fields make sense.
func decode(r *report, data []byte, limit int, m protoreflect.Message) bool {
	if len(data) > limit {
		r.add("", "larger than %d bytes", limit)
		return false
	}
	root, err := parse(data)
	if err != nil {
		r.add("", "%v", err)
		return false
	}
	d := &decoder{report: r}
	d.message(root, m, "")
	_, isObject := root.value.(object)
	return isObject
}
