#!/bin/sh
# Generates internal/pb from proto/. With --check, generates into a temporary
# directory instead and fails if the committed code differs.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
out=internal/pb
if [ "${1:-}" = "--check" ]; then
	out="$bin/pb"
	mkdir "$out"
fi
go run ./tools/protogen --in proto --out "$out" --module gooseberryreel/internal/pb "$bin/protoc-gen-go" "$bin/protoc-gen-go-drpc"
if [ "${1:-}" = "--check" ]; then
	for file in "$out"/*.go; do
		cmp "$file" "internal/pb/$(basename "$file")"
	done
fi
