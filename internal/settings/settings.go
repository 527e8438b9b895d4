// Package settings loads the settings files of the programs and the declarations
// that operators publish. Both are JSON files that must match the protobuf schema
// exactly. All problems of a file are reported at once, each with the file, the
// field and the reason.
package settings

import (
	"io"
	"os"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gooseberryreel/internal/pb"
)

// Limits on the size of a file in bytes.
const (
	MaxSettingsBytes    = 1 << 20
	MaxDeclarationBytes = 64 << 10
)

// LoadEntry reads the settings file of an entry instance and fills in defaults.
// The error, if any, is an *Error.
func LoadEntry(file string) (*pb.EntrySettings, error) {
	data, err := readFile(file, MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	return ParseEntry(file, data)
}

// ParseEntry is LoadEntry for data that has already been read. Errors name file
// as its source.
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

// LoadScheduler reads the settings file of a scheduler process and fills in
// defaults. The error, if any, is an *Error.
func LoadScheduler(file string) (*pb.SchedulerSettings, error) {
	data, err := readFile(file, MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	return ParseScheduler(file, data)
}

// ParseScheduler is LoadScheduler for data that has already been read. Errors
// name file as its source.
func ParseScheduler(file string, data []byte) (*pb.SchedulerSettings, error) {
	settings := &pb.SchedulerSettings{}
	r := &report{file: file}
	decode(r, data, MaxSettingsBytes, settings.ProtoReflect())
	if err := r.result(); err != nil {
		return nil, err
	}
	return settings, nil
}

// LoadDeclaration reads a declaration file and fills in defaults. The error, if
// any, is an *Error.
func LoadDeclaration(file string) (*pb.Declaration, error) {
	data, err := readFile(file, MaxDeclarationBytes)
	if err != nil {
		return nil, err
	}
	return ParseDeclaration(file, data)
}

// ParseDeclaration is LoadDeclaration for data that has already been read. Errors
// name file as its source.
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

// ValidateDeclaration checks a declaration that was not loaded from a file, such
// as one in a stream record. It fills in no defaults. The error, if any, is an
// *Error that gives name in place of the file.
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

// decode fills m and reports whether data is a JSON object. Only then can fields
// be checked against each other.
func decode(r *report, data []byte, limit int, m protoreflect.Message) bool {
	if len(data) > limit {
		r.add("", "file is larger than %d bytes", limit)
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
