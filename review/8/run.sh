#!/bin/sh
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if it could not run; with TROUBLE=0 without the disruption. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -f review/target/second/SlowAnswer.class ] || [ ! -f balancer/target/cloverpulley.jar ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
exec java -cp review/target/second SlowReader "$here"
