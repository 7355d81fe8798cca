#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption. Needs the builds of deploy/balancer.toml and of review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x target/review/standin ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
end() {
    [ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
    # The stand-in ends the node itself and removes this file, unless it was stopped.
    [ -f "$TMPDIR/node.pid" ] && kill -KILL "$(cat "$TMPDIR/node.pid")" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
target/review/standin long "$here/record.txt" "$run" &
standin=$!
wait "$standin"
status=$?
standin=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
