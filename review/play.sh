#!/bin/sh
# Plays a case: play.sh CASE FOLDER. Ends all that it started, also when it is interrupted.
# TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/gs-node ] || [ ! -x target/review/rig ]; then
  echo "build first: cargo build --release --package gs-node && review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
rig=
end_all() {
  if [ -n "$rig" ]; then
    # It starts nothing more once it has ended.
    kill "$rig" 2>/dev/null
    wait "$rig" 2>/dev/null
  fi
  for file in "$folder"/*.pid; do
    [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
  rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
target/review/rig "$1" "$2/record.txt" "$folder" &
rig=$!
wait "$rig"
code=$?
rig=
[ "$code" -le 2 ] || code=2
exit "$code"
