// Command gen generates the Go code of the .proto files given as arguments, and
// writes it next to each of them. It needs no protoc: protocompile parses the
// files, and protoc-gen-go, whose version this module pins, generates the code.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const _filePerm = 0o644

func main() {
	for _, path := range os.Args[1:] {
		if err := generate(path); err != nil {
			fmt.Fprintf(os.Stderr, "gen: %v.\n", err)
			os.Exit(1)
		}
	}
}

// generate generates and writes the code of one file. It runs the
// protoc-gen-go found on the PATH.
func generate(path string) error {
	r, err := request(path)
	if err != nil {
		return fmt.Errorf("compile %s: %w", path, err)
	}
	in, err := proto.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	c := exec.Command("protoc-gen-go")
	c.Stdin, c.Stderr = bytes.NewReader(in), os.Stderr
	out, err := c.Output()
	if err != nil {
		return fmt.Errorf("run protoc-gen-go: %w", err)
	}
	var a pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &a); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	for _, f := range a.GetFile() {
		n := filepath.Join(filepath.Dir(path), filepath.Base(f.GetName()))
		if err := os.WriteFile(n, []byte(f.GetContent()), _filePerm); err != nil {
			return fmt.Errorf("write code: %w", err)
		}
	}
	return nil
}

// request compiles a file into the request message that protoc-gen-go reads.
func request(path string) (*pluginpb.CodeGeneratorRequest, error) {
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := c.Compile(context.Background(), path)
	if err != nil {
		return nil, err
	}
	parameter := "paths=source_relative"
	return &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{path},
		Parameter:      &parameter,
		ProtoFile:      descriptors(files[0], nil),
	}, nil
}

// descriptors appends the descriptors of a file's imports and then of the file
// itself to all.
func descriptors(f protoreflect.FileDescriptor, all []*descriptorpb.FileDescriptorProto) []*descriptorpb.FileDescriptorProto {
	for i := range f.Imports().Len() {
		all = descriptors(f.Imports().Get(i).FileDescriptor, all)
	}
	return append(all, protoutil.ProtoFromFileDescriptor(f))
}
