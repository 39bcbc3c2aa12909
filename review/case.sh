# Read by the run.sh of each case, which sets MAIN, and by other.sh, which sets RECORD too. Starts the driver with a temporary folder; ends all that it started.
here=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$here" && while [ ! -f deploy/balancer.toml ] && [ "$PWD" != / ]; do cd ..; done; pwd)
REVIEW_TEMP=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
REVIEW_RECORD=${RECORD:-$here/record.txt}
REVIEW_RUN=$(sed -n "s/^run = '''\(.*\)'''\$/\1/p" "$REVIEW_ROOT/deploy/balancer.toml")
export REVIEW_ROOT REVIEW_TEMP REVIEW_RECORD REVIEW_RUN
[ -f "$REVIEW_ROOT/balancer/target/cloverpulley.jar" ] && [ -d "$REVIEW_ROOT/review/build" ] || { echo "not built"; rm -rf "$REVIEW_TEMP"; exit 2; }
pid=
end() { [ -z "$pid" ] || kill "$pid" 2>/dev/null; [ -z "$pid" ] || wait "$pid" 2>/dev/null; rm -rf "$REVIEW_TEMP"; exit 2; }
trap end INT TERM HUP
java -Xmx512m -cp "$REVIEW_ROOT/review/build" "$MAIN" &
pid=$!
wait "$pid"
status=$?
rm -rf "$REVIEW_TEMP"
case $status in 0) exit 0;; 10) exit 1;; *) exit 2;; esac # Java itself ends with 1 where it cannot start.
