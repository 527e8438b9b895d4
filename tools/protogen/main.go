// Command protogen compiles the .proto files of a folder and runs the Go plugins on them,
// so that generating code needs no compiler beside the Go toolchain.
package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/alecthomas/kong"
	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"
)

type options struct {
	In      string   `help:"Folder with the .proto files." required:""`
	Out     string   `help:"Folder for the generated files." required:""`
	Module  string   `help:"Import path of the output folder, removed from the names of files." required:""`
	Plugins []string `arg:"" help:"Paths of the plugins."`
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Description("Generates Go code from .proto files."))
	ctx.FatalIfErrorf(o.run())
}

func (o *options) run() error {
	paths, err := filepath.Glob(filepath.Join(o.In, "*.proto"))
	if err != nil {
		return errors.Wrapf(err, "list %s", o.In)
	}
	request := &pluginpb.CodeGeneratorRequest{Parameter: proto.String("module=" + o.Module)}
	for _, path := range paths {
		request.FileToGenerate = append(request.FileToGenerate, filepath.Base(path))
	}
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{o.In}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), request.FileToGenerate...)
	if err != nil {
		return errors.Wrap(err, "compile")
	}
	added := make(map[string]bool)
	for _, f := range files {
		addFile(request, f, added)
	}
	for _, plugin := range o.Plugins {
		if err := runPlugin(plugin, request, o.Out); err != nil {
			return errors.Wrap(err, plugin)
		}
	}
	return nil
}

// addFile adds a file after those that it imports, as plugins expect them.
func addFile(request *pluginpb.CodeGeneratorRequest, f protoreflect.FileDescriptor, added map[string]bool) {
	if added[f.Path()] {
		return
	}
	added[f.Path()] = true
	for i := range f.Imports().Len() {
		addFile(request, f.Imports().Get(i).FileDescriptor, added)
	}
	request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(f))
}

func runPlugin(path string, request *pluginpb.CodeGeneratorRequest, out string) error {
	data, err := proto.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	cmd := exec.Command(path)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(data), os.Stderr
	reply, err := cmd.Output()
	if err != nil {
		return errors.Wrap(err, "run")
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(reply, response); err != nil {
		return errors.Wrap(err, "decode response")
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, f := range response.GetFile() {
		if err := os.WriteFile(filepath.Join(out, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}
