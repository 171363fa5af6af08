#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: the store of the project, servers and clients, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/rig-2 ./review/rig
