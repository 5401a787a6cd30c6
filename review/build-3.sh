#!/bin/sh
# Builds every stand-in that the cases 11 to 15 start. The system itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/stand-ins-3"
cargo build --release --locked --offline
