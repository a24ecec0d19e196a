#!/usr/bin/env bash
# Plays a case of the third review: play.sh NAME FOLDER. The record goes to FOLDER/record.txt; the exit
# code is that of the case, and 2 if it could not run.
set -u
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
cases=target/review-3/cases
if [[ ! -x $cases || ! -x target/release/skylarkstream ]]; then
  echo "build the project and review/build-3.sh first"
  exit 2
fi
work=$(mktemp -d) || exit 2
"$cases" "$name" "$folder/record.txt" "$work" &
child=$!
stop() {
  kill "$child" 2>/dev/null
  for file in "$work"/*.pid; do
    [[ -f $file ]] && kill -KILL "$(<"$file")" 2>/dev/null
  done
  rm -rf "$work"
}
trap stop EXIT
wait "$child"
code=$?
[[ $code -le 1 ]] || code=2
exit "$code"
