#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
case_folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$case_folder/../../.." || exit 2
[ -x target/release/skylarkstream ] && [ -x target/review/standins ] || exit 2
temporary="$(mktemp -d)" || exit 2
end_case() {
    # The file lists processes only if the stand-ins ended before their daemons.
    if [ -f "$temporary/processes" ]; then
        xargs -r kill -KILL < "$temporary/processes" 2> /dev/null
    fi
    rm -rf "$temporary"
}
trap end_case EXIT
timeout 110 target/review/standins silence "$case_folder" "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
