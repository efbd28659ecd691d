#!/bin/sh
# Builds the stand-ins and clients of the scripts; needs no network and no dependency.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/tools/Cargo.toml --target-dir target/review
