#!/bin/sh
# Builds the stand-ins and drivers of the cases; needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac --release 17 -d build src/*.java
