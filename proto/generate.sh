#!/usr/bin/env bash
# Regenerates internal/rpc/pb from proto/. Needs protoc; the plugins are Go tools.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
out=${1:-.}
PATH="$bin:$PATH" protoc -I proto \
  --go_out="$out" --go_opt=module=goldcrestseam.dev/goldcrestseam \
  --twirp_out="$out" --twirp_opt=module=goldcrestseam.dev/goldcrestseam \
  proto/goldcrest/v1/*.proto
