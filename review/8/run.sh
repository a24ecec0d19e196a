#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/skylarkstream ] && [ -x target/review-2/pipeline_behind_close ] || exit 2
CASE_DIR="$PWD/review/8" exec target/review-2/pipeline_behind_close
