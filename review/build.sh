#!/bin/sh
# Builds every stand-in that the scripts start: the project's own store stand-in is a library of this program.
set -eu
cd "$(dirname "$0")/harness"
exec cargo build --release --offline --locked
