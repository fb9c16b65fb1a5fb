#!/bin/sh
# Runs the case of the folder $1 (a name under review/): from the root, with the command `run` of the deploy file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/.." || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
CASE_DIR="$here/$1"
TMPDIR=$(mktemp -d) || exit 2
export RUN CASE_DIR TMPDIR
if [ ! -x "$here/bin/case-$1" ] || [ ! -x target/release/myrtleyard ]; then
    echo "could not run: build the project and review/build.sh first" | tee "$CASE_DIR/record.txt"
    rm -rf "$TMPDIR"
    exit 2
fi
unset NODE_NAME NODE_LISTEN NODE_DISCOVERY NODE_OPS NODE_LISTEN_FD NODE_CONFIG NODE_STATE
# A case that hangs is ended after 110 s, and one whose script is told to end ends with it. The sender ends with its case.
timeout -s KILL 110 "$here/bin/case-$1" &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null; wait "$case_pid"; rm -rf "$TMPDIR"; exit 2' TERM INT HUP
wait "$case_pid"
code=$?
rm -rf "$TMPDIR"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
