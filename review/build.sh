#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network: the package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
