#!/bin/sh
# Runs the case of the folder $1: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. Ends all processes that the case started, also when told to end.
here=$(cd "$1" && pwd) || exit 2
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case-$(basename "$here")
sender=$root/target/release/myrtleyard
for file in "$program" "$sender"; do
    if [ ! -x "$file" ]; then
        echo "$file is missing: run the build of deploy/balancer.toml and review/build-2.sh" >&2
        exit 2
    fi
done
TMPDIR=$(mktemp -d) || exit 2
REVIEW_PIDS=$TMPDIR/pids
export TMPDIR REVIEW_PIDS
: >"$REVIEW_PIDS"
case=
end() {
    [ -n "$case" ] && kill -KILL "$case" 2>/dev/null
    while read -r pid; do
        [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$sender" ] && kill -KILL "$pid" 2>/dev/null
    done <"$REVIEW_PIDS"
    rm -rf "$TMPDIR"
}
trap 'end; exit 2' TERM INT HUP
cd "$root" || exit 2
"$program" "$here" &
case=$!
wait "$case"
code=$?
case=
end
[ "$code" -le 2 ] || code=2
exit "$code"
