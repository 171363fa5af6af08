#!/usr/bin/env bash
# Plays the case "long-id"; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
[ -x target/ibiswinch ] && [ -x target/rig-2 ] || exit 2
exec target/rig-2 long-id "$folder/record.txt"
