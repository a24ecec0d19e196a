#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name="$(basename "$source" .rs)"
    [ "$name" = rig ] && continue
    rustc --edition 2024 -O "$source" -o "target/review-2/$name"
done
