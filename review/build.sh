#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/ ./review/cmd/...
