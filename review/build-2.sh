#!/bin/sh
# Builds the stand-ins of the second review's cases: the JDK alone, nothing is fetched. The program under test is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target/second
mkdir -p review/target/second
javac -encoding UTF-8 -d review/target/second review/src-2/*.java
