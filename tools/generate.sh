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
PATH="$bin:$PATH" protoc -I proto \
	--go_out="$out" --go_opt=module=gooseberryreel/internal/pb \
	--go-drpc_out="$out" --go-drpc_opt=module=gooseberryreel/internal/pb \
	proto/*.proto
if [ "${1:-}" = "--check" ]; then
	for file in "$out"/*.go; do
		cmp "$file" "internal/pb/$(basename "$file")"
	done
fi
