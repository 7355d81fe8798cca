#!/bin/sh
# Runs a check that the report speaks of and that is no case: "late" or "order". Exit status and TROUBLE=0 are as
# for the cases; the record goes to review/more-NAME-record.txt.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/.." || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
case $1 in late | order) ;; *) exit 2 ;; esac
[ -n "$run" ] && [ -x target/review/standin ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
end() {
    [ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
    # Nodes that were left running because the stand-in was stopped.
    for pid in $(cat "$TMPDIR/node.pid" 2>/dev/null); do
        grep -qx mothspool "/proc/$pid/comm" 2>/dev/null && kill -KILL "$pid"
    done
    rm -rf "$TMPDIR"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
target/review/standin "$1" "${RECORD:-$here/more-$1-record.txt}" "$run" &
standin=$!
wait "$standin"
status=$?
standin=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
