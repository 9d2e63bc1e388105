#!/bin/sh
# Plays a case: play.sh VERB FOLDER. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs target/release/gs-node and review/build-2.sh. KEEP_LOGS=FOLDER keeps the entries' logs.
set -u
verb=$1
here=$(cd "$2" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/gs-node ] && [ -x target/review-2/standin ] || exit 2
folder=$(mktemp -d) || exit 2
driver=
end() {
    trap '' EXIT INT TERM HUP
    [ -n "$driver" ] && kill "$driver" 2>/dev/null
    # Only processes that the driver has started and that still run what it started.
    while read -r pid; do
        case "$(readlink "/proc/$pid/exe" 2>/dev/null)" in
            */target/release/gs-node* | */target/review-2/standin*) kill -9 "$pid" 2>/dev/null ;;
        esac
    done <"$folder/pids"
    [ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS" 2>/dev/null
    rm -rf "$folder"
}
: >"$folder/pids"
trap 'end; exit 2' INT TERM HUP
trap end EXIT
target/review-2/standin "$verb" "$here/record.txt" "$folder" &
driver=$!
wait "$driver"
code=$?
driver=
exit "$code"
