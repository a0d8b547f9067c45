#!/usr/bin/env bash
# Runs the randomised tests of the decision crates, in virtual time, with many seeds.
# Usage: scripts/soak.sh [SEEDS]   (default 10000)
# A failure prints its seed and the command that reproduces it.
set -euo pipefail
cd "$(dirname "$0")/.."
export COWSLIP_SEEDS=${1:-10000}
cargo test --release --locked -p cowslip-fleet -p cowslip-routing -p cowslip-placement
