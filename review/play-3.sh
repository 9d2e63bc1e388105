#!/bin/sh
# Runs a case: play-3.sh CASE FOLDER. Ends all processes that it has started, also when it is interrupted.
set -u
case_name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review-3/review-3 ] || [ ! -x target/release/gs-node ]; then
    echo "build first: the deploy file's build and review/build-3.sh" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
player=
end_all() {
    [ -n "$player" ] && kill -9 "$player" 2>/dev/null
    [ -f "$work/pids" ] && while read -r pid; do
        # Only processes that still are what was started.
        [ -r "/proc/$pid/cmdline" ] || continue
        case $(tr '\0' ' ' <"/proc/$pid/cmdline") in
            *gs-node\ entry*) kill -9 "$pid" 2>/dev/null ;;
        esac
    done <"$work/pids"
    rm -rf "$work"
}
trap 'end_all; exit 2' INT TERM HUP
target/review-3/review-3 "$case_name" "$work" "$folder/record.txt" &
player=$!
wait "$player"
code=$?
player=
end_all
exit "$code"
