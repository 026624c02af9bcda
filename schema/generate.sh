#!/usr/bin/env bash
# Regenerates core/cassiaschema from the schema. Needs protoc (Debian package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
plugin="$(mktemp -d)"
trap 'rm -rf "$plugin"' EXIT
GOBIN="$plugin" go install google.golang.org/protobuf/cmd/protoc-gen-go
protoc -Ischema --descriptor_set_in=schema/validate.binpb --plugin=protoc-gen-go="$plugin/protoc-gen-go" \
  --go_out=core/cassiaschema --go_opt=paths=source_relative schema/*.proto
