#!/bin/sh
# Builds the stand-ins of the second review. They use no crates but the standard library.
set -e
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --offline --locked
